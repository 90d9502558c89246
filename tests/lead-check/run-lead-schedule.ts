import type {Log} from '../../src/log/log.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import type {Random} from '../../src/random/random.js';
import {ReadPolicy, type Route} from '../../src/routes/routing.js';
import {createScriptedCaller, type ScriptedCaller} from '../../src/stand-ins/proxies/scripted-caller.js';
import {createSimulatedProxies, type SimulatedProxies, type SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import {createVirtualClock, type VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {Access, SessionState, type Statement} from '../../src/statements/statement.js';
import {AnswerCode} from '../../src/statements/statement-answer.js';
import {createLeadHistory, type LeadHistory} from './lead-history.js';

/** What a schedule came to. */
export type LeadOutcome = {
	readonly violations: readonly string[];
	readonly figures: LeadHistory['figures'];
	readonly promotions: number;
	/** Whether writes and reads were served again after everything had healed. */
	readonly servedAfterwards: boolean;
};

/** How a schedule is played. */
export type LeadScheduleOptions = {
	/** Creates the proxies' log; the time is that of the schedule, in milliseconds. */
	createLog?(getNow: () => number): Log;
	/** Virtual time of trouble, in milliseconds. */
	readonly lengthMs?: number;
};

const GROUP = 'nights';
const DEFAULT_LENGTH_MS = 15_000;
const QUIET_MS = 14_000;
const PROXIES = ['entry-1', 'entry-2', 'entry-3', 'entry-4'];
const CALLERS_PER_PROXY = 2;

const ROUTES: readonly Route[] = [
	{name: 'sync', policy: ReadPolicy.Primary, maxReadAgeMs: 0},
	{name: 'review', policy: ReadPolicy.Bounded, maxReadAgeMs: 1500},
	{name: 'roster', policy: ReadPolicy.OwnWrites, maxReadAgeMs: 2500},
].map(route => ({
	...route, database: route.name, group: GROUP, statementTimeoutMs: 1000, targetLatencyMs: 200, priority: 1,
}));

/** Codes that promise a caller that nothing of its attempt is kept. */
const PROMISES: ReadonlySet<AnswerCode> = new Set([
	AnswerCode.Overloaded, AnswerCode.Aborted, AnswerCode.Lagging, AnswerCode.ReadOnly, AnswerCode.WrongEndpoint, AnswerCode.TooManyConnections,
]);

type World = {
	readonly system: SimulatedProxies;
	readonly history: LeadHistory;
	readonly random: Random;
	readonly clock: VirtualClock;
	stopped: boolean;
	served: number;
};

/** Plays a random schedule of troubles over the real decisions; the same seed plays the same. */
export async function runLeadSchedule(seed: number, options: LeadScheduleOptions = {}): Promise<LeadOutcome> {
	const clock = createVirtualClock();
	const startedAt = clock.now();
	const history = createLeadHistory(() => clock.now());
	const random = createSeededRandom(seed);
	const system = createSimulatedProxies({
		clock,
		seed,
		groups: [{
			name: GROUP, zones: ['zone-0', 'zone-1', 'zone-2'], observer: history.observer, promoteMs: 600 + (400 * random.fraction()), lagMs: 20 + (60 * random.fraction()),
		}],
		routes: ROUTES,
		log: options.createLog?.(() => clock.now() - startedAt),
		orderMs: 30,
	});
	history.setGroup(system.groups[0]!);
	const world: World = {
		system, history, random, clock, stopped: false, served: 0,
	};
	for (const name of PROXIES) {
		const starting = system.startProxy(name);
		await clock.runUntil(starting);
	}

	await clock.advance(3000);
	for (const name of PROXIES) {
		for (let i = 0; i < CALLERS_PER_PROXY; i++) {
			void runCaller(world, name, i);
		}
	}

	const lengthMs = options.lengthMs ?? DEFAULT_LENGTH_MS;
	void runTroubles(world, clock.now() + lengthMs);
	await clock.advance(lengthMs);
	healAll(world);
	await clock.advance(QUIET_MS / 2);
	world.served = 0;
	await clock.advance(QUIET_MS / 2);
	const servedAfterwards = world.served > 0;
	world.stopped = true;
	system.stop();
	history.finish(system.orders);
	return {
		violations: history.violations, figures: history.figures, promotions: system.orders.length, servedAfterwards,
	};
}

function findProxy({system}: World, name: string): SimulatedProxy {
	return system.proxies.findLast(proxy => proxy.name === name)!;
}

/** One caller after the other at one proxy, each for some operations. */
async function runCaller(world: World, name: string, index: number) {
	const {clock, random} = world;
	for (let session = 0; !world.stopped; session++) {
		const proxy = findProxy(world, name);
		if (proxy.killed) {
			await clock.sleep(50);
			continue;
		}

		const route = ROUTES[Math.floor(random.fraction() * ROUTES.length)]!;
		const caller = createScriptedCaller(`${name}-${index}-${session}`);
		const ended = proxy.kernel.getOrThrow('gateway').serve(caller.channel);
		void ended;
		if (await orNever(world, proxy, caller.open(route.database))) {
			await runOperations(world, proxy, caller, route);
		}

		caller.leave();
		await clock.sleep(20);
	}
}

/** A killed proxy answers nothing, and its callers notice. */
async function orNever<T>({clock}: World, proxy: SimulatedProxy, promise: Promise<T>): Promise<T | undefined> {
	let settled = false;
	const marked = promise.finally(() => {
		settled = true;
	});
	const death = (async () => {
		while (!settled && !proxy.killed) {
			await clock.sleep(25);
		}

		return undefined;
	})();
	return Promise.race([marked, death]);
}

async function runOperations(world: World, proxy: SimulatedProxy, caller: ScriptedCaller, route: Route) {
	const own: string[] = [];
	for (let i = 0; i < 12 && !world.stopped && !caller.closed; i++) {
		await world.clock.sleep(10 + (60 * world.random.fraction()));
		const draw = world.random.fraction();
		const healthy = draw < 0.45
			? await readOnce(world, proxy, caller, route, own)
			: (draw < 0.7 ? await writeOnce(world, proxy, caller, own) : await runTransaction(world, proxy, caller, route, own));
		if (!healthy) {
			return;
		}
	}
}

let lastId = 0;

function createId(): string {
	lastId++;
	return `s${lastId}`;
}

const READ: Statement = {kind: 'run', access: Access.Read, text: 'READ item'};

async function readOnce(world: World, proxy: SimulatedProxy, caller: ScriptedCaller, route: Route, own: readonly string[]) {
	const id = createId();
	world.history.claimRead(id, createClaim(world, route, own));
	const answer = await orNever(world, proxy, caller.ask(id, READ));
	if (answer?.end.kind === 'complete') {
		world.served++;
		world.history.noteRead(id);
	}

	return answer !== undefined;
}

function createClaim({clock}: World, route: Route, own: readonly string[]) {
	return {firstByteAt: clock.now(), maxReadAgeMs: route.maxReadAgeMs, own: route.policy === ReadPolicy.OwnWrites ? [...own] : []};
}

async function writeOnce(world: World, proxy: SimulatedProxy, caller: ScriptedCaller, own: string[]) {
	const id = createId();
	const answer = await orNever(world, proxy, caller.ask(id, {kind: 'run', access: Access.Write, text: `WRITE item ${id}`}));
	noteEnd(world, id, answer, own);
	return answer !== undefined;
}

function noteEnd({history, clock}: World, id: string, answer: Awaited<ReturnType<ScriptedCaller['ask']>>, own: string[]) {
	if (!answer) {
		history.noteUnknown();
	} else if (answer.end.kind === 'complete') {
		history.noteAcknowledged(id, clock.now());
		own.push(id);
	} else if (PROMISES.has(answer.end.code)) {
		history.noteRefused(id);
	} else {
		history.noteUnknown();
	}
}

async function runTransaction(world: World, proxy: SimulatedProxy, caller: ScriptedCaller, route: Route, own: string[]) {
	const readOnly = world.random.fraction() < 0.4;
	const claim = createClaim(world, route, own);
	const ask = async (id: string, statement: Statement) => orNever(world, proxy, caller.ask(id, statement));
	await ask(createId(), {kind: 'begin', readOnly});
	const steps = 1 + Math.floor(world.random.fraction() * 3);
	let state: SessionState | undefined = SessionState.Open;
	for (let i = 0; i < steps && state === SessionState.Open; i++) {
		const id = createId();
		const writes = !readOnly && world.random.fraction() < 0.6;
		world.history.claimRead(id, claim);
		const answer = await ask(id, writes ? {kind: 'run', access: Access.Write, text: `WRITE item ${id}`} : READ);
		if (answer?.end.kind === 'complete' && !writes) {
			world.history.noteRead(id);
		}

		state = answer?.state;
		await world.clock.sleep(40 * world.random.fraction());
	}

	if (state === undefined) {
		return false;
	}

	if (state === SessionState.Failed || world.random.fraction() < 0.1) {
		return await ask(createId(), {kind: 'rollback'}) !== undefined;
	}

	const id = createId();
	const answer = await ask(id, {kind: 'commit'});
	if (readOnly || answer?.end.kind !== 'complete') {
		noteCommitEnd(world, id, answer);
		return answer !== undefined;
	}

	noteCommit(world, id, own);
	return true;
}

function noteCommitEnd({history}: World, id: string, answer: Awaited<ReturnType<ScriptedCaller['ask']>>) {
	if (answer?.end.kind === 'error' && PROMISES.has(answer.end.code)) {
		history.noteRefused(id);
	} else if (answer?.end.kind !== 'complete') {
		history.noteUnknown();
	}
}

/** A transaction that wrote nothing commits nothing, and is no commit to be judged. */
function noteCommit({history, clock}: World, id: string, own: string[]) {
	if (history.wroteAnything(id)) {
		history.noteAcknowledged(id, clock.now());
		own.push(id);
	}
}

/** Troubles one after the other, some overlapping. */
async function runTroubles(world: World, until: number) {
	const {clock, random} = world;
	while (clock.now() < until && !world.stopped) {
		await clock.sleep(100 + (900 * random.fraction()));
		if (clock.now() < until) {
			pick(world, ALL_TROUBLES)(world, 300 + (4000 * random.fraction()));
		}
	}
}

type Trouble = (world: World, ms: number) => void;

function pick<T>({random}: World, items: readonly T[]): T {
	return items[Math.floor(random.fraction() * items.length)]!;
}

function pickLiving(world: World): SimulatedProxy | undefined {
	const living = world.system.proxies.filter(({killed}) => !killed);
	return living.length === 0 ? undefined : pick(world, living);
}

function later({clock}: World, ms: number, action: () => void) {
	void clock.sleep(ms).then(action);
}

const TROUBLES: Readonly<Record<string, Trouble>> = {
	crashServer(world, ms) {
		const group = world.system.groups[0]!;
		const server = world.random.fraction() < 0.7 ? group.servers.find(({id}) => id === group.leaderId)! : pick(world, group.servers);
		if (group.servers.filter(({running}) => running).length < 3) {
			return;
		}

		group.crash(server);
		later(world, ms, () => {
			group.restart(server);
		});
	},
	cutPrimaryFromProxies(world, ms) {
		const {leaderId} = world.system.groups[0]!;
		for (const proxy of world.system.proxies) {
			if (world.random.fraction() < 0.6) {
				proxy.cutFrom.add(leaderId);
				later(world, ms, () => proxy.cutFrom.delete(leaderId));
			}
		}
	},
	cutPrimaryFromGroup(world, ms) {
		const group = world.system.groups[0]!;
		const server = group.servers.find(({id}) => id === group.leaderId)!;
		server.cutFromGroup = true;
		later(world, ms, () => {
			server.cutFromGroup = false;
		});
	},
	lagReplica(world, ms) {
		const server = pick(world, world.system.groups[0]!.servers);
		const before = server.lagMs;
		server.lagMs = 1500 + (2000 * world.random.fraction());
		later(world, ms, () => {
			server.lagMs = before;
		});
	},
	loseAnswers(world) {
		pick(world, world.system.groups[0]!.servers).loseAnswers += 1 + Math.floor(world.random.fraction() * 3);
	},
	suspendProxy(world, ms) {
		const proxy = pickLiving(world);
		if (proxy) {
			world.system.suspend(proxy);
			later(world, ms, () => {
				world.system.resume(proxy);
			});
		}
	},
	killProxy(world, ms) {
		const proxy = pickLiving(world);
		if (proxy) {
			world.system.kill(proxy);
			later(world, ms / 2, () => {
				void world.system.startProxy(proxy.name);
			});
		}
	},
	downStore(world, ms) {
		world.system.store.setTrouble(undefined, world.random.fraction() < 0.5 ? {silent: true} : {refused: true});
		later(world, ms, () => {
			world.system.store.heal();
		});
	},
	refuseSome(world, ms) {
		for (const name of PROXIES) {
			if (world.random.fraction() < 0.5) {
				world.system.store.setTrouble(name, {refused: true});
			}
		}

		later(world, ms, () => {
			world.system.store.heal();
		});
	},
	loseStoreAnswers(world, ms) {
		world.system.store.setTrouble(undefined, {loseShare: 0.4, lateMs: 4000});
		later(world, ms, () => {
			world.system.store.heal();
		});
	},
	slowStore(world, ms) {
		world.system.store.setTrouble(undefined, {answerMs: 350});
		later(world, ms, () => {
			world.system.store.heal();
		});
	},
	cutProxiesApart(world, ms) {
		const [left, right] = [pick(world, PROXIES), pick(world, PROXIES)];
		if (left !== right) {
			world.system.network.setFaultsBetween(`${left}:7000`, `${right}:7000`, {cut: true});
			later(world, ms, () => {
				world.system.network.heal();
			});
		}
	},
	/** One proxy is alone with the primary, cut off from everything else, while the others replace it. */
	isolateWithPrimary(world, ms) {
		const group = world.system.groups[0]!;
		const server = group.servers.find(({id}) => id === group.leaderId)!;
		const alone = pickLiving(world);
		if (!alone) {
			return;
		}

		server.cutFromGroup = true;
		world.system.store.setTrouble(alone.name, {silent: true});
		for (const proxy of world.system.proxies.filter(other => other !== alone)) {
			proxy.cutFrom.add(server.id);
			world.system.network.setFaultsBetween(alone.peerAddress, proxy.peerAddress, {cut: true});
		}

		later(world, 2000 + (2 * ms), () => {
			server.cutFromGroup = false;
			world.system.store.heal();
			world.system.network.heal();
			for (const proxy of world.system.proxies) {
				proxy.cutFrom.delete(server.id);
			}
		});
	},
	drainPrimary(world, ms) {
		const group = world.system.groups[0]!;
		const server = group.servers.find(({id}) => id === group.leaderId)!;
		server.leaving = true;
		world.system.registerEndpoints();
		later(world, ms, () => {
			server.leaving = false;
			world.system.registerEndpoints();
		});
	},
};

const ALL_TROUBLES = Object.values(TROUBLES);

function healAll({system}: World) {
	system.store.heal();
	system.network.heal();
	for (const server of system.groups[0]!.servers) {
		server.cutFromGroup = false;
		server.leaving = false;
		server.lagMs = 20;
		server.loseAnswers = 0;
		if (!server.running) {
			system.groups[0]!.restart(server);
		}
	}

	system.registerEndpoints();
	for (const proxy of system.proxies) {
		proxy.cutFrom.clear();
		system.resume(proxy);
	}
}
