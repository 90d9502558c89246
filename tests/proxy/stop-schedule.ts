import fc from 'fast-check';
import type {CallerChannel, CallerRequest} from '../../src/gateway/caller-channel.js';
import type {EndpointLink} from '../../src/links/endpoint-link.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {parseStatement} from '../../src/platform/caller-lines.js';
import {leave} from '../../src/proxy/leave.js';
import {createScriptedCaller, type ScriptedAnswer, type ScriptedCaller} from '../../src/stand-ins/proxies/scripted-caller.js';
import type {SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import {AnswerCode} from '../../src/statements/statement-answer.js';
import {SessionState} from '../../src/statements/statement.js';
import {createProxyBench, ROUTES, type ProxyBench} from './proxy-bench.js';

/** From the order to stop to the end by force, in milliseconds. */
export const GRACE_MS = 6000;

/** A host is told to stop, in milliseconds from the start of the schedule. */
export type StopOrder = {readonly host: number; readonly atMs: number};

/** What a caller does, over and over until it is told that its session ends. */
export type CallerStep =
	| {readonly kind: 'read' | 'write' | 'remember'; readonly restMs: number}
	/** Its statements are writes and reads in turn. */
	| {readonly kind: 'transaction'; readonly restMs: number; readonly statements: number; readonly innerRestMs: number};

/** One caller. */
export type CallerPlan = {
	readonly host: number;
	readonly database: string;
	/** Time for which its requests are on their way or unread, in milliseconds. */
	readonly requestMs: number;
	/** When it connects, in milliseconds from the start of the schedule. */
	readonly opensAtMs: number;
	/** Time from its greeting to its first step, in milliseconds. */
	readonly firstRestMs: number;
	readonly steps: readonly CallerStep[];
};

/** A server answers late from some moment on. */
export type Slowness = {readonly server: number; readonly atMs: number; readonly slowMs: number};

/** Hosts that are told to stop, and what is going on then. */
export type StopSchedule = {
	readonly size: {readonly proxies: number; readonly maxConnections: number};
	readonly stops: readonly StopOrder[];
	readonly callers: readonly CallerPlan[];
	readonly slowness: readonly Slowness[];
	/** The primary is replaced in order, in milliseconds from the start of the schedule. */
	readonly replaceAtMs?: number;
	readonly promoteMs: number;
	/** Time that a process goes on for its last lines, in milliseconds. */
	readonly lastLinesMs: number;
};

/** What hosts were at when they were told, and what callers were told: shows that schedules reach what they are to reach. */
export type StopTally = Record<string, number>;

/** Latest order to stop, in milliseconds from the start of a schedule; before the first, callers are at work. */
const FIRST_ORDER_MS = 800;
const LAST_ORDER_MS = 3000;

/** Callers begin nothing after this, in milliseconds from the start of a schedule: each host has ended. */
const PLAY_MS = LAST_ORDER_MS + GRACE_MS + 1000;

/** What was given up still runs at endpoints for at most so long, in milliseconds. */
const AFTERMATH_MS = 4000;

/** Servers of the bench's group. */
const SERVERS = 3;

/** Longest time that a request is unread, in milliseconds. */
const LONGEST_UNREAD_MS = 1600;

/** Least time between two steps of a caller, in milliseconds: one that asks over and over within a moment meets nothing more. */
const LEAST_REST_MS = 40;

const someRestMs = fc.oneof(fc.constantFrom(0, 5, 50), fc.integer({min: 0, max: 3500}));

/** Rests of callers that keep their hosts busy, so that most of them wait for a connection. */
const shortRestMs = fc.integer({min: 0, max: 400});

const createSteps = (restMs: fc.Arbitrary<number>): fc.Arbitrary<CallerStep> => fc.oneof(
	fc.record({kind: fc.constantFrom('read' as const, 'write' as const, 'write' as const, 'remember' as const), restMs}),
	fc.record({
		kind: fc.constant('transaction' as const), restMs, statements: fc.nat(3), innerRestMs: restMs,
	}),
);

const requestMs = fc.oneof(fc.constantFrom(0, 1), fc.integer({min: 0, max: LONGEST_UNREAD_MS}));

/** Few connections: with the last three sizes some hosts keep all of them and lend them to the others. */
const size = fc.constantFrom(
	{proxies: 2, maxConnections: 22},
	{proxies: 3, maxConnections: 5},
	{proxies: 4, maxConnections: 5},
	{proxies: 6, maxConnections: 8},
);

const createCallers = (host: fc.Arbitrary<number>, restMs: fc.Arbitrary<number>, length: fc.ArrayConstraints) => fc.array(fc.record({
	host,
	database: fc.constantFrom(...ROUTES.map(route => route.database)),
	requestMs,
	opensAtMs: fc.oneof(fc.integer({min: 0, max: FIRST_ORDER_MS}), fc.integer({min: 0, max: LAST_ORDER_MS}), fc.integer({min: 0, max: PLAY_MS})),
	firstRestMs: restMs,
	steps: fc.array(createSteps(restMs), {minLength: 1, maxLength: 4}),
}), {...length, size: 'max'});

/** Schedules. */
export const stopSchedules: fc.Arbitrary<StopSchedule> = size.chain(chosen => {
	const host = fc.nat(chosen.proxies - 1);
	return fc.record({
		size: fc.constant(chosen),
		stops: fc.uniqueArray(
			fc.record({host, atMs: fc.oneof(fc.constantFrom(1000, 1500), fc.integer({min: FIRST_ORDER_MS, max: LAST_ORDER_MS}))}),
			{minLength: 1, maxLength: chosen.proxies, selector: order => order.host},
		),
		callers: fc.oneof(
			createCallers(host, someRestMs, {minLength: 1, maxLength: 8}),
			createCallers(host, someRestMs, {minLength: 8, maxLength: 20}),
			createCallers(host, shortRestMs, {minLength: 16, maxLength: 32}),
		),
		slowness: fc.array(fc.record({
			server: fc.oneof(fc.constant(0), fc.nat(SERVERS - 1)),
			atMs: fc.oneof(fc.nat(LAST_ORDER_MS), fc.nat(LAST_ORDER_MS + GRACE_MS)),
			slowMs: fc.oneof(fc.constantFrom(0, 300, 900), fc.integer({min: 0, max: 3000})),
		}), {maxLength: 8}),
		replaceAtMs: fc.option(fc.integer({min: 0, max: LAST_ORDER_MS}), {nil: undefined, freq: 2}),
		promoteMs: fc.constantFrom(300, 1000, 2500, 4000),
		lastLinesMs: fc.constantFrom(0, 300),
	});
});

/** What a host read of a caller. */
type Taken = {
	readonly what: string;
	readonly atMs: number;
	/** It has an answer or a refusal. */
	settled: boolean;
};

type Ask = {
	readonly id: string;
	readonly text: string;
	answer?: ScriptedAnswer;
	/** The wait for an answer is over. */
	ended: boolean;
};

/** A caller with all that passed between it and its host. */
type Played = {
	readonly name: string;
	readonly plan: CallerPlan;
	readonly caller: ScriptedCaller;
	readonly taken: Taken[];
	readonly asks: Ask[];
	/** Ids under which something of it must not be committed, with the reason. */
	readonly promises: Map<string, string>;
	/** Ids under which something was acknowledged. */
	readonly acknowledged: Set<string>;
	greeted: boolean;
};

/** What says that nothing is kept. */
const NOTHING_KEPT: ReadonlySet<AnswerCode> = new Set([
	AnswerCode.Overloaded, AnswerCode.Aborted, AnswerCode.Malformed, AnswerCode.ReadOnly, AnswerCode.Lagging, AnswerCode.UnknownStatement,
]);

/** Commands that begin something at an endpoint. */
const BEGINNERS: ReadonlySet<string> = new Set(['run', 'execute', 'begin', 'commit']);

/** Plays a schedule; returns what was against the rules, each in one line. */
export async function playStopSchedule(schedule: StopSchedule, tally: StopTally = {}): Promise<string[]> {
	const bench = await createProxyBench({...schedule.size, promoteMs: schedule.promoteMs});
	const {clock} = bench;
	const startedAt = clock.now();
	const since = () => clock.now() - startedAt;
	const faults: string[] = [];
	const begun = watchBegun(bench, since);
	const players: Played[] = [];
	const closedPorts = new Set<number>();
	const endedHosts = new Set<number>();
	const count = (what: string, times = 1) => {
		tally[what] = (tally[what] ?? 0) + times;
	};

	const play = async (plan: CallerPlan, number: number) => {
		await clock.sleep(plan.opensAtMs);
		const proxy = bench.proxies[plan.host]!;
		if (closedPorts.has(plan.host)) {
			return;
		}

		const name = `h${plan.host}c${number}`;
		const caller = createScriptedCaller(name, {clock, requestMs: plan.requestMs});
		const player: Played = {
			name, plan, caller, taken: [], asks: [], promises: new Map(), acknowledged: new Set(), greeted: false,
		};
		players.push(player);
		void proxy.kernel.getOrThrow('gateway').serve(watchChannel(caller.channel, player.taken, since));
		player.greeted = await caller.open(plan.database);
		if (player.greeted) {
			await clock.sleep(plan.firstRestMs);
			await act(player);
		}
	};

	const act = async (player: Played) => {
		const isOver = () => player.caller.refusal !== undefined || player.caller.closed || since() >= PLAY_MS;
		const ask = async (text: string) => {
			const made: Ask = {id: `${player.name}-${player.asks.length}`, text, ended: false};
			player.asks.push(made);
			made.answer = await player.caller.ask(made.id, parseStatement(text));
			made.ended = true;
			if (!made.answer && !endedHosts.has(player.plan.host)) {
				faults.push(`${made.id} (${text}) met the end of its session, at ${since()}`);
			}

			return made;
		};

		const transact = async ({statements, innerRestMs}: Extract<CallerStep, {kind: 'transaction'}>) => {
			const first = await ask('BEGIN');
			let broken = getPromise(player, first);
			let wrote = false;
			for (let i = 0; i < statements && !isOver() && !broken; i++) {
				await clock.sleep(innerRestMs);
				if (isOver()) {
					break;
				}

				wrote ||= i % 2 === 0;
				broken = getPromise(player, await ask(i % 2 === 0 ? `WRITE ${player.name} ${i}` : `READ ${player.name}`));
			}

			await clock.sleep(innerRestMs);
			if (isOver() || first.answer?.state !== SessionState.Open) {
				return;
			}

			const end = await ask('COMMIT');
			judge(player, end, wrote, broken);
		};

		while (!isOver()) {
			for (const next of player.plan.steps) {
				if (isOver()) {
					return;
				}

				if (next.kind === 'transaction') {
					await transact(next);
				} else {
					const made = await ask(next.kind === 'read' ? `READ ${player.name}` : (next.kind === 'write' ? `WRITE ${player.name} 1` : 'SET studio boston'));
					judge(player, made, next.kind === 'write');
				}

				await clock.sleep(Math.max(LEAST_REST_MS, next.restMs));
			}
		}
	};

	const stop = async ({host, atMs}: StopOrder) => {
		await clock.sleep(atMs);
		const proxy = bench.proxies[host]!;
		noteStates(bench, proxy, count);
		const gateway = proxy.kernel.getOrThrow('gateway');
		const orderedAt = since();
		await leave({
			gateway,
			leadWatch: proxy.kernel.getOrThrow('leadWatch'),
			lender: proxy.kernel.getOrThrow('linkLender'),
			callerPort: {
				close() {
					closedPorts.add(host);
				},
			},
			clock: proxy.clock,
			log: createSilentLog(),
			graceMs: GRACE_MS,
		});
		const tookMs = since() - orderedAt;
		if (tookMs > GRACE_MS) {
			faults.push(`host ${host} left after ${tookMs} ms`);
		}

		const own = players.filter(({plan}) => plan.host === host);
		faults.push(...own.flatMap(player => judgeAtEnd(player, orderedAt)));
		const soFar = begun.length;
		await clock.sleep(schedule.lastLinesMs);
		for (const {id, at} of begun.slice(soFar).filter(({id}) => id.startsWith(`h${host}c`))) {
			faults.push(`${id} was begun at an endpoint at ${at}, after its host had left at ${orderedAt + tookMs}`);
		}

		endedHosts.add(host);
		bench.system.kill(proxy);
		for (const player of own) {
			noteCut(player, orderedAt);
			player.caller.leave();
		}
	};

	/** Requests that the process's end leaves without an answer: only those of callers that were told. */
	const noteCut = ({caller, asks, name, promises}: Played, orderedAt: number) => {
		for (const {id, text, ended} of asks) {
			if (ended) {
				continue;
			}

			count('unanswered at the end');
			if (caller.refusal === undefined) {
				faults.push(`${id} (${text}) of ${name} has no answer and no refusal at the end of its host, ordered at ${orderedAt}`);
			} else if (NOTHING_KEPT.has(caller.refusal)) {
				promises.set(id, `its session ended by ${caller.refusal}`);
			}
		}
	};

	for (const {server, atMs, slowMs} of schedule.slowness) {
		void clock.sleep(atMs).then(() => {
			bench.group.servers[server]!.slowMs = slowMs;
		});
	}

	if (schedule.replaceAtMs !== undefined) {
		void clock.sleep(schedule.replaceAtMs).then(() => {
			bench.getPrimary().leaving = true;
			bench.system.registerEndpoints();
		});
	}

	const all = Promise.all([...schedule.stops.map(async order => stop(order)), ...schedule.callers.map(async (plan, i) => play(plan, i))]);
	await clock.runUntil(all, PLAY_MS + GRACE_MS + LONGEST_UNREAD_MS + AFTERMATH_MS);
	await clock.advance(AFTERMATH_MS);
	faults.push(...judgeCommits(bench, players));
	for (const answer of players.flatMap(({asks}) => asks.map(ask => ask.answer))) {
		count(`answer ${answer ? (answer.end.kind === 'error' ? answer.end.code : 'done') : 'none'}`);
	}

	bench.system.stop();
	return faults;
}

/** Passes a channel on and notes what its host reads and settles. */
function watchChannel(channel: CallerChannel, taken: Taken[], since: () => number): CallerChannel {
	let told = false;
	const settle = () => {
		const last = taken.at(-1);
		if (last) {
			last.settled = true;
		}
	};

	const describe = (req: CallerRequest) => req.kind === 'statement' ? req.id : req.kind;

	return {
		name: channel.name,
		get left() {
			return channel.left;
		},
		get waiting() {
			return channel.waiting;
		},
		async next() {
			const req = await channel.next();
			if (req) {
				// Told before it was read, a caller has its refusal; only a statement still lacks the state behind it.
				taken.push({what: describe(req), atMs: since(), settled: told && req.kind === 'open'});
			}

			return req;
		},
		greet() {
			settle();
			channel.greet();
		},
		async answer(result, state) {
			settle();
			await channel.answer(result, state);
		},
		refuse(code, text) {
			told = true;
			if (taken.length === 1) {
				settle();
			}

			channel.refuse(code, text);
		},
		endRefusal(state) {
			settle();
			channel.endRefusal(state);
		},
		close() {
			channel.close();
		},
	};
}

/** Notes under which ids something is begun at endpoints. */
function watchBegun({group}: ProxyBench, since: () => number) {
	const begun: Array<{readonly id: string; readonly at: number}> = [];
	const watch = (link: EndpointLink): EndpointLink => ({
		...link,
		get pending() {
			return link.pending;
		},
		get closed() {
			return link.closed;
		},
		async exchange(req) {
			if (req.id !== undefined && BEGINNERS.has(req.command.kind)) {
				begun.push({id: req.id, at: since()});
			}

			return link.exchange(req);
		},
	});
	const {open} = group;
	(group as {open: typeof open}).open = async (...args) => watch(await open(...args));
	return begun;
}

/** Notes what a host is at when it is told to stop. */
function noteStates(bench: ProxyBench, {kernel}: SimulatedProxy, count: (what: string, times?: number) => void) {
	for (const [phase, sessions] of Object.entries(kernel.getOrThrow('gateway').countPhases())) {
		count(`told while ${phase}`, sessions);
	}

	const known = kernel.getOrThrow('endpointDirectory').list(bench.group.name);
	const lenders = kernel.getOrThrow('lenders');
	count('told while it lends', kernel.getOrThrow('linkLender').loans);
	count('told while it borrows', known.filter(({entry, pool}) => !lenders.keepsOwn(entry) && pool.lent > 0).length);
	count('told while requests wait for a connection', known.filter(({pool, ownPool}) => pool.waiting > 0 || ownPool.waiting > 0).length);
	count('told while it replaces a primary', kernel.getOrThrow('leadWatch').replacing ? 1 : 0);
}

/** What is against the rules at the moment that a host has left. */
function judgeAtEnd({name, caller, taken, asks, greeted}: Played, orderedAt: number): string[] {
	const faults: string[] = [];
	for (const {what, atMs} of taken.filter(({settled}) => !settled)) {
		faults.push(`${what} of ${name}, read at ${atMs}, has neither answer nor refusal when its host has left, ordered at ${orderedAt}`);
	}

	const isUnderWay = asks.some(({id, ended}) => !ended && !taken.some(({what}) => what === id));
	const mayBeOpen = greeted ? caller.refusal !== undefined && isUnderWay : taken.length === 0;
	if (!caller.closed && !mayBeOpen) {
		faults.push(`the session of ${name} is open when its host has left, ordered at ${orderedAt}; told: ${caller.refusal ?? 'nothing'}`);
	}

	return faults;
}

/** Notes what an answer promises of a statement; returns whether it says that nothing is kept. */
function getPromise({promises}: Played, {id, answer}: Ask): boolean {
	const isPromise = answer?.end.kind === 'error' && NOTHING_KEPT.has(answer.end.code);
	if (isPromise) {
		promises.set(id, `it was told ${answer.end.kind === 'error' ? answer.end.code : ''}`);
	}

	return isPromise;
}

/** Notes what the end of a write or of a transaction was said to be. */
function judge(player: Played, ask: Ask, wrote: boolean, broken = false) {
	getPromise(player, ask);
	if (broken) {
		player.promises.set(ask.id, 'a statement of its transaction was told so');
	}

	if (wrote && ask.answer?.end.kind === 'complete') {
		player.acknowledged.add(ask.id);
	}
}

/** Holds what endpoints committed against what callers were told. */
function judgeCommits({ran}: ProxyBench, players: readonly Played[]): string[] {
	const commits = new Map<string, number>();
	for (const [, what, id = ''] of ran.map(line => line.split(' '))) {
		if (what === 'commit') {
			commits.set(id, (commits.get(id) ?? 0) + 1);
		}
	}

	const faults: string[] = [];
	for (const {promises, acknowledged, asks} of players) {
		for (const {id, text} of asks) {
			const times = commits.get(id) ?? 0;
			const promise = promises.get(id);
			if (promise !== undefined && times > 0) {
				faults.push(`${id} (${text}) was committed though ${promise}`);
			}

			if (times > 1) {
				faults.push(`${id} (${text}) was committed ${times} times`);
			}

			if (acknowledged.has(id) && times === 0) {
				faults.push(`${id} (${text}) was acknowledged and never committed`);
			}
		}
	}

	return faults;
}
