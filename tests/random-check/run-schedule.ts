import {Outcome, type CallerAnswer} from '../../src/callers/caller-answer.js';
import {callerRequestSchema, type CallerRequest} from '../../src/callers/caller-request.js';
import {createRequestId} from '../../src/random/request-id.js';
import type {GuardBreak} from './guard-breaks.js';
import {TABLE, type Figures, type Key} from './history.js';
import {
	PROXIES, SESSIONS, type Schedule, type Step,
} from './schedule.js';
import {createWorld, GROUP, type World} from './world.js';

/** How a run ended. */
export type RunEnd = {
	readonly violations: readonly string[];
	readonly figures: Figures;
	readonly wakes: number;
};

/** A session as its caller keeps it. */
type CallerSession = {
	tokens: string[];
	readonly acked: Set<Key>;
};

type StepOf<K extends Step['kind']> = Extract<Step, {kind: K}>;

/** Time in which everything that was asked has its answer, in milliseconds. */
const ANSWERED_MS = 6000;

/** Time in which replicas catch up once all is healed, in milliseconds. */
const CATCH_UP_MS = 3000;

const READ: CallerRequest = callerRequestSchema.parse({kind: 'read', statement: `SELECT id FROM ${TABLE}`, deadlineMs: 1000});

/** Runs a schedule on a fresh world and judges it. */
export async function runSchedule({seed, jitterMs, absent, steps}: Schedule, guardBreak?: GuardBreak): Promise<RunEnd> {
	const world = createWorld({seed, jitterMs, guardBreak});
	const {clock, history} = world;
	const act = createActor(world);
	for (let proxy = 0; proxy < PROXIES; proxy++) {
		void world.getProxy(proxy).look();
	}

	await clock.advance(60);
	for (const step of steps) {
		act(step);
		await clock.advance(step.ms);
		if (history.violations.length > 0) {
			break;
		}
	}

	if (history.violations.length === 0) {
		await settleWorld(world, absent);
	}

	world.stop();
	return {violations: history.violations, figures: history.figures, wakes: clock.wakes};
}

/** Ends all faults, lets all requests end, promotes once more without one server, and judges what is left. */
async function settleWorld(world: World, absent: number): Promise<void> {
	const {clock, servers, history} = world;
	heal(world);
	await clock.advance(ANSWERED_MS);
	const [proxy] = [world.getProxy(0)];
	servers[absent]?.faults.cut();
	await raiseUntilDone(world);
	heal(world);
	await clock.advance(100);
	void proxy.tend();
	await clock.advance(CATCH_UP_MS);
	const term = world.getHighestTerm();
	const survivor = servers.find(({member}) => member.isPrimaryAt(term));
	if (!survivor) {
		throw new Error('the healed group has no primary');
	}

	history.judgeSurvivor(survivor.member.log);
	await readAtEnd(world);
}

function heal(world: World): void {
	for (const [index, server] of world.servers.entries()) {
		server.restart();
		server.faults.thaw();
		server.faults.heal();
		server.setReplicationStalled(false);
		server.setReplicationLag(1);
		for (let proxy = 0; proxy < PROXIES; proxy++) {
			world.getLink(proxy, index).heal();
			world.getLink(proxy, index).setDelay(0);
			world.getLink(proxy, index).dropAnswers(0);
		}
	}

	for (let proxy = 0; proxy < PROXIES; proxy++) {
		world.getProxy(proxy).clock.resume();
	}
}

async function raiseUntilDone({clock, getProxy}: World): Promise<void> {
	let done = false;
	for (let tries = 0; tries < 10 && !done; tries++) {
		const proxy = getProxy(0);
		void (async () => {
			await proxy.look();
			done = await proxy.raise();
		})();
		await clock.advance(2000);
	}

	if (!done) {
		throw new Error('no majority could be raised in a healed group');
	}
}

/** A caller without a token must see everything that was acknowledged to anyone. */
async function readAtEnd({clock, getProxy, history}: World): Promise<void> {
	const {entry} = getProxy(1);
	void (async () => {
		const answer = await entry.execute(GROUP, READ, undefined);
		if (answer.outcome === Outcome.Done) {
			history.noteRead(getNights(answer), getAcked(history.keys), 'the last read');
		}
	})();
	await clock.advance(READ.deadlineMs + 100);
}

function getAcked(keys: readonly Key[]): readonly Key[] {
	return keys.filter(({ackedTerm}) => ackedTerm !== undefined);
}

function getNights(answer: CallerAnswer): ReadonlySet<unknown> {
	return new Set(answer.rows!.map(({id}) => id));
}

/** Creates what carries out steps; requests and promotions go on in the background. */
function createActor(world: World): (step: Step) => void {
	const {clock, servers, history, random} = world;
	const sessions: CallerSession[] = Array.from({length: SESSIONS}, () => ({tokens: ['new'], acked: new Set()}));

	const keepToken = (session: CallerSession, sent: readonly string[], answer: CallerAnswer) => {
		session.tokens = [...session.tokens.filter(token => !sent.includes(token)), answer.session!];
	};

	/** Notes an answer about a key, and what its session may now count on. */
	const noteAnswer = (key: Key, session: CallerSession, asked: 'write' | 'repeat' | 'resolve', answer: CallerAnswer) => {
		history.noteAnswer(key, asked, answer, world.getHighestTerm());
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
			values: [key.night],
			requestId: key.id,
			attempt: step.kind === 'write' ? 1 : 2,
			deadlineMs: step.deadlineMs,
		}, sent.join(','));
		keepToken(session, sent, answer);
		noteAnswer(key, session, step.kind, answer);
	};

	const resolve = async (key: Key, step: StepOf<'resolve'>) => {
		const session = sessions[step.session]!;
		const sent = session.tokens;
		const answer = await world.getProxy(step.proxy).entry.resolveOutcome(GROUP, key.id, sent.join(','));
		keepToken(session, sent, answer);
		noteAnswer(key, session, 'resolve', answer);
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
			history.noteRead(getNights(answer), mustHold, `a read (${step.how}) at ${answer.servedBy!}`);
		}
	};

	const raise = async ({proxy: index, tell}: StepOf<'raise'>) => {
		const proxy = world.getProxy(index);
		if (await proxy.raise() && tell) {
			await Promise.all(Array.from({length: PROXIES}, async (_, other) => world.getProxy(other).look()));
		}
	};

	const getKey = (index: number) => history.keys.length > 0 ? history.keys[index % history.keys.length] : undefined;

	const cutFromServers = (index: number) => {
		servers[index]!.faults.cut(servers.filter((_, other) => other !== index).map(({address}) => address));
	};

	const act = (step: Step): unknown => {
		switch (step.kind) {
			case 'write': {
				return submit(history.addKey(createRequestId(clock.wall(), random)), step);
			}

			case 'repeat': {
				const key = getKey(step.key);
				return key && submit(key, step);
			}

			case 'resolve': {
				const key = getKey(step.key);
				return key && resolve(key, step);
			}

			case 'read': {
				return read(step);
			}

			case 'raise': {
				return raise(step);
			}

			case 'tend': {
				return world.getProxy(step.proxy).tend();
			}

			case 'kill': {
				return servers[step.server]!.kill();
			}

			case 'restart': {
				return servers[step.server]!.restart();
			}

			case 'freeze': {
				return servers[step.server]!.faults.freeze();
			}

			case 'thaw': {
				return servers[step.server]!.faults.thaw();
			}

			case 'cut-servers': {
				return cutFromServers(step.server);
			}

			case 'cut-proxies': {
				return servers[step.server]!.faults.cut(step.proxies.map(proxy => world.getProxy(proxy).host.name));
			}

			case 'heal': {
				return servers[step.server]!.faults.heal();
			}

			case 'delay-link': {
				return world.getLink(step.proxy, step.server).setDelay(step.delayMs);
			}

			case 'cut-link': {
				return world.getLink(step.proxy, step.server).cut();
			}

			case 'heal-link': {
				return world.getLink(step.proxy, step.server).heal();
			}

			case 'silence-link': {
				return world.getLink(step.proxy, step.server).silence();
			}

			case 'drop-answer': {
				return world.getLink(step.proxy, step.server).dropAnswers(1, step.what);
			}

			case 'lag': {
				return servers[step.server]!.setReplicationLag(step.lagMs);
			}

			case 'stall': {
				return servers[step.server]!.setReplicationStalled(step.stalled);
			}

			case 'pause': {
				return world.getProxy(step.proxy).clock.pause();
			}

			case 'resume': {
				return world.getProxy(step.proxy).clock.resume();
			}

			case 'replace': {
				return world.replaceProxy(step.proxy);
			}

			case 'wait': {
				return undefined;
			}
		}
	};

	return step => {
		act(step);
	};
}
