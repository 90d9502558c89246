import {Outcome, type CallerResponse} from '../../src/callers/caller-response.js';
import {callerRequestSchema, type CallerRequest} from '../../src/callers/caller-request.js';
import {createRequestId} from '../../src/random/request-id.js';
import {TABLE, type Key} from './history.js';
import {PROXIES, SESSIONS, type Step} from './schedule.js';
import {GROUP, type World} from './world.js';

/** A caller's session: its tokens and the keys of its acknowledged writes. */
type CallerSession = {
	tokens: string[];
	readonly acked: Set<Key>;
};

type StepOf<K extends Step['kind']> = Extract<Step, {kind: K}>;

type Actions = {[K in Step['kind']]: (step: StepOf<K>) => unknown};

/** A read of the whole table. */
export const READ: CallerRequest = callerRequestSchema.parse({kind: 'read', statement: `SELECT id FROM ${TABLE}`, deadlineMs: 1000});

/** Creates a function that performs steps. Requests and promotions continue in the background. */
export function createStepRunner(world: World): (step: Step) => void {
	const {clock, servers, history, random} = world;
	const sessions: CallerSession[] = Array.from({length: SESSIONS}, () => ({tokens: ['new'], acked: new Set()}));

	const keepToken = (session: CallerSession, sent: readonly string[], answer: CallerResponse) => {
		session.tokens = [...session.tokens.filter(token => !sent.includes(token)), answer.session!];
	};

	/** Records an answer for a key, and adds an acknowledged key to its session. */
	const recordAnswer = (key: Key, session: CallerSession, asked: 'write' | 'repeat' | 'resolve', answer: CallerResponse) => {
		history.recordAnswer(key, asked, answer, world.getHighestTerm());
		if (answer.outcome === Outcome.Done) {
			session.acked.add(key);
		}
	};

	const submit = async (key: Key, step: StepOf<'write' | 'repeat'>) => {
		const session = sessions[step.session]!;
		const sent = session.tokens;
		key.open++;
		const answer = await world.getProxy(step.proxy).entry.execute(GROUP, {
			...READ,
			kind: 'write',
			statement: `INSERT INTO ${TABLE} (id) VALUES ($1)`,
			values: [key.rowId],
			requestId: key.id,
			attempt: step.kind === 'write' ? 1 : 2,
			deadlineMs: step.deadlineMs,
		}, sent.join(','));
		keepToken(session, sent, answer);
		recordAnswer(key, session, step.kind, answer);
	};

	const resolve = async (key: Key, step: StepOf<'resolve'>) => {
		const session = sessions[step.session]!;
		const sent = session.tokens;
		const answer = await world.getProxy(step.proxy).entry.resolveOutcome(GROUP, key.id, sent.join(','));
		keepToken(session, sent, answer);
		recordAnswer(key, session, 'resolve', answer);
	};

	const read = async (step: StepOf<'read'>) => {
		const session = sessions[step.session]!;
		const sent = step.how === 'lost' ? undefined : session.tokens;
		const mustHold = step.how === 'token' ? [...session.acked] : getAcked(history.keys);
		const answer = await world.getProxy(step.proxy).entry.execute(GROUP, {...READ, latest: step.how === 'latest'}, sent?.join(','));
		if (sent) {
			keepToken(session, sent, answer);
		}

		if (answer.outcome === Outcome.Done) {
			history.recordRead(getRowIds(answer), mustHold, `a read (${step.how}) at ${answer.servedBy!}`);
		}
	};

	const raise = async ({proxy: index, tell}: StepOf<'raise'>) => {
		const proxy = world.getProxy(index);
		if (await proxy.promote() && tell) {
			await Promise.all(Array.from({length: PROXIES}, async (_, other) => world.getProxy(other).checkStatuses()));
		}
	};

	const getKey = (index: number) => history.keys.length > 0 ? history.keys[index % history.keys.length] : undefined;

	const partition = ({servers: sides, proxies, cutsProxies}: StepOf<'partition'>) => {
		for (const [index, server] of servers.entries()) {
			const side = sides[index];
			const cutServers = servers.filter((_, other) => sides[other] !== side).map(({address}) => address);
			const cutProxies = proxies.flatMap((other, proxy) => cutsProxies && other !== side ? [world.getProxy(proxy).host.name] : []);
			server.faults.heal();
			server.faults.cut([...cutServers, ...cutProxies]);
		}
	};

	const actions: Actions = {
		write: step => Array.from({length: step.count}, async () => submit(history.addKey(createRequestId(clock.wall(), random)), step)),
		async repeat(step) {
			const key = getKey(step.key);
			return key && submit(key, step);
		},
		async resolve(step) {
			const key = getKey(step.key);
			return key && resolve(key, step);
		},
		read,
		raise,
		tend: async ({proxy}) => world.getProxy(proxy).repair(),
		partition,
		wait: () => undefined,
		kill({server}) {
			servers[server]!.kill();
		},
		restart({server}) {
			servers[server]!.restart();
		},
		freeze({server}) {
			servers[server]!.faults.freeze();
		},
		thaw({server}) {
			servers[server]!.faults.thaw();
		},
		'delay-link'({proxy, server, delayMs}) {
			world.getLink(proxy, server).setDelay(delayMs);
		},
		'cut-link'({proxy, server}) {
			world.getLink(proxy, server).cut();
		},
		'heal-link'({proxy, server}) {
			world.getLink(proxy, server).heal();
		},
		'silence-link'({proxy, server}) {
			world.getLink(proxy, server).silence();
		},
		'drop-answer'({proxy, server, what}) {
			world.getLink(proxy, server).dropAnswers(1, what);
		},
		lag({server, lagMs}) {
			servers[server]!.setReplicationLag(lagMs);
		},
		stall({server, stalled}) {
			servers[server]!.setReplicationStalled(stalled);
		},
		pause({proxy}) {
			world.getProxy(proxy).clock.pause();
		},
		resume({proxy}) {
			world.getProxy(proxy).clock.resume();
		},
		replace({proxy}) {
			world.replaceProxy(proxy);
		},
	};

	return step => {
		const action = actions[step.kind] as (step: Step) => unknown;
		action(step);
	};
}

/** Returns the keys that were acknowledged to any caller. */
export function getAcked(keys: readonly Key[]): readonly Key[] {
	return keys.filter(({ackedTerm}) => ackedTerm !== undefined);
}

/** Returns the ids in a read's rows. */
export function getRowIds(answer: CallerResponse): ReadonlySet<unknown> {
	return new Set(answer.rows!.map(({id}) => id));
}
