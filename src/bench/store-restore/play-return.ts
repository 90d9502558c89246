import {parseStatement} from '../../platform/caller-lines.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import {ReadPolicy, type Route} from '../../routes/routing.js';
import {createScriptedCaller} from '../../stand-ins/proxies/scripted-caller.js';
import {createSimulatedProxies, type SimulatedProxies, type SimulatedProxy} from '../../stand-ins/proxies/simulated-proxies.js';
import type {StoreCopy} from '../../stand-ins/metadata-store/in-memory-metadata-store.js';
import {createVirtualClock} from '../../stand-ins/time/virtual-clock.js';

/** When a primary is lost around the return. */
export const PrimaryLoss = {
	Never: 'never',
	/** Between the copy and the outage: the store forgets who was promoted. */
	BeforeReturn: 'before the return',
	AfterReturn: 'after the return',
} as const;

/** One of the losses in {@link PrimaryLoss}. */
export type PrimaryLoss = typeof PrimaryLoss[keyof typeof PrimaryLoss];

/** How a return is played. */
export type ReturnOptions = {
	readonly hosts: number;
	/** Changes of the operator that the store loses. */
	readonly lostChanges: number;
	readonly primaryLoss: PrimaryLoss;
	readonly seed: number;
};

/** What callers and the operator got. */
export type ReturnFigures = {
	/** Time from the acknowledgement of a configuration, one second after the return, until the last host has it, in milliseconds. */
	readonly applyMs: number;
	/** Longest time without an acknowledged write from the return on, in milliseconds. */
	readonly writeGapMs: number;
	/** Writes from the return on that were refused or left unknown. */
	readonly refused: number;
	/** Calls of all hosts to the store in the first five seconds after the return. */
	readonly storeCalls: number;
};

const AWAY_MS = 1000;
const PLAY_MS = 12_000;
const STEP_MS = 20;
const SETTLE_MS = 10_000;

/** Time for which hosts have each change before the next. */
const CHANGE_MS = 100;

/** Time between the loss of a primary and the outage, in which it is replaced. */
const REPLACED_MS = 3000;

const PROMOTE_MS = 600;

/** Time after the return at which the primary is lost, or the configuration changes. */
const AFTER_MS = 1000;

/** Time after the return in which calls are counted. */
const CALLS_MS = 5000;

const ROUTE: Route = {
	name: 'sync', database: 'sync', group: 'nights', policy: ReadPolicy.Primary, maxReadAgeMs: 0, statementTimeoutMs: 1000, targetLatencyMs: 200, priority: 1,
};

/** Plays one return of the store from a copy, with a caller that writes at a host all along. */
export async function playReturn({hosts, lostChanges, primaryLoss, seed}: ReturnOptions): Promise<ReturnFigures> {
	const clock = createVirtualClock();
	const random = createSeededRandom(seed);
	const system = createSimulatedProxies({
		clock,
		seed,
		groups: [{
			name: 'nights', zones: ['zone-0', 'zone-1', 'zone-2'], promoteMs: PROMOTE_MS, maxConnections: 100, observer: {onRead: () => undefined, onCommit: () => undefined},
		}],
		routes: [ROUTE],
	});
	for (let i = 1; i <= hosts; i++) {
		await clock.runUntil(system.startProxy(`entry-${i}`));
	}

	await clock.advance(SETTLE_MS);
	const copy = system.store.takeCopy();
	for (let i = 0; i < lostChanges; i++) {
		changeRouting(system);
		await clock.advance(CHANGE_MS);
	}

	await clock.advance(random.fraction() * AFTER_MS);
	if (primaryLoss === PrimaryLoss.BeforeReturn) {
		await losePrimary(system);
	}

	await comeBack(system, copy);
	const callsBefore = system.store.calls;
	const writer = startWriter(system);
	await clock.advance(AFTER_MS);
	if (primaryLoss === PrimaryLoss.AfterReturn) {
		system.groups[0]!.crash(system.groups[0]!.leader);
	}

	const applyMs = await measureApply(system);
	await clock.advance(Math.max(0, CALLS_MS - AFTER_MS - applyMs));
	const storeCalls = system.store.calls - callsBefore;
	await clock.advance(PLAY_MS - CALLS_MS);
	system.stop();
	return {applyMs, storeCalls, ...writer.finish()};
}

/** Has the operator change the configuration; milliseconds until the last host has it. */
async function measureApply(system: SimulatedProxies): Promise<number> {
	const {clock, proxies} = system;
	const version = changeRouting(system);
	const changedAt = clock.now();
	while (clock.now() < changedAt + PLAY_MS) {
		if (proxies.every(proxy => getVersion(proxy) >= version)) {
			return clock.now() - changedAt;
		}

		await clock.advance(STEP_MS);
	}

	return Number.POSITIVE_INFINITY;
}

function getVersion({kernel}: SimulatedProxy): number {
	return kernel.getOrThrow('storeMirror').state.routing?.version ?? 0;
}

/** Has the operator change the configuration; its new version. */
function changeRouting({store, proxies}: SimulatedProxies): number {
	const {routing} = proxies[0]!.kernel.getOrThrow('storeMirror').state;
	const version = Math.max(routing!.version, store.takeCopy().routing?.version ?? 0) + 1;
	store.setRouting({...routing!, version});
	return version;
}

async function losePrimary({clock, groups}: SimulatedProxies) {
	const group = groups[0]!;
	const former = group.leader;
	group.crash(former);
	await clock.advance(REPLACED_MS);
	group.restart(former);
}

async function comeBack({clock, store}: SimulatedProxies, copy: StoreCopy) {
	store.setTrouble(undefined, {silent: true});
	await clock.advance(AWAY_MS);
	store.heal();
	store.restore(copy);
}

/** Writes over and over at the last host, in one session. */
function startWriter({clock, proxies}: SimulatedProxies) {
	let stopped = false;
	let [acknowledgedAt, writeGapMs, refused] = [clock.now(), 0, 0];
	const noteGap = () => {
		writeGapMs = Math.max(writeGapMs, clock.now() - acknowledgedAt);
	};

	const run = async () => {
		const caller = createScriptedCaller();
		void proxies.at(-1)!.kernel.getOrThrow('gateway').serve(caller.channel);
		await caller.open('sync');
		for (let i = 0; !stopped; i++) {
			const answer = await caller.ask(`w${i}`, parseStatement(`WRITE item ${i}`));
			if (answer?.end.kind === 'complete') {
				noteGap();
				acknowledgedAt = clock.now();
			} else {
				refused++;
			}

			await clock.sleep(STEP_MS);
		}
	};

	void run();
	return {
		finish() {
			stopped = true;
			noteGap();
			return {writeGapMs, refused};
		},
	};
}
