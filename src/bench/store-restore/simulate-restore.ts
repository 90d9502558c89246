import {parseStatement} from '../../platform/caller-lines.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import {ReadPolicy, type Route} from '../../routes/routing.js';
import {createScriptedCaller} from '../../stand-ins/proxies/scripted-caller.js';
import {createSimulatedProxies, type SimulatedProxies, type SimulatedProxy} from '../../stand-ins/proxies/simulated-proxies.js';
import type {StoreBackup} from '../../stand-ins/metadata-store/in-memory-metadata-store.js';
import {createVirtualClock} from '../../stand-ins/time/virtual-clock.js';

/** When a primary is lost relative to the restore. */
export const PrimaryLoss = {
	Never: 'never',
	/** Between the backup and the outage: the restored store lacks the promotion of the primary's successor. */
	BeforeRestore: 'before the return',
	AfterRestore: 'after the return',
} as const;

/** One of the losses in {@link PrimaryLoss}. */
export type PrimaryLoss = typeof PrimaryLoss[keyof typeof PrimaryLoss];

/** Settings of a simulated restore. */
export type RestoreOptions = {
	readonly hosts: number;
	/** Number of the operator's changes after the backup, which the store loses. */
	readonly lostChanges: number;
	readonly primaryLoss: PrimaryLoss;
	readonly seed: number;
};

/** What callers and the operator experience. */
export type RestoreFigures = {
	/** Time from the acknowledgement of a configuration, one second after the restore, until the last host has it, in milliseconds. */
	readonly applyMs: number;
	/** Longest time without an acknowledged write from the restore on, in milliseconds. */
	readonly writeGapMs: number;
	/** Number of writes from the restore on that were refused or whose outcome is unknown. */
	readonly refused: number;
	/** Calls of all hosts to the store in the first five seconds after the restore. */
	readonly storeCalls: number;
};

const OUTAGE_MS = 1000;
const RUN_MS = 12_000;
/** Pause between writes, and between checks for the new configuration, in milliseconds. */
const POLL_INTERVAL_MS = 20;
const WARM_UP_MS = 10_000;

/** Interval between the lost changes, in which hosts receive each of them, in milliseconds. */
const CHANGE_INTERVAL_MS = 100;

/** Time between the loss of a primary and the outage, in which it is replaced, in milliseconds. */
const REPLACEMENT_MS = 3000;

const PROMOTE_MS = 600;

/** Time after the restore at which the primary is lost and the configuration changes, in milliseconds. */
const EVENT_DELAY_MS = 1000;

/** Time after the restore in which calls are counted, in milliseconds. */
const CALL_COUNT_MS = 5000;

const ROUTE: Route = {
	name: 'sync', database: 'sync', group: 'nights', policy: ReadPolicy.Primary, maxReadAgeMs: 0, statementTimeoutMs: 1000, targetLatencyMs: 200, priority: 1,
};

/** Simulates one restore of the store from a backup, with a caller that writes at one host from the restore on. */
export async function simulateRestore({hosts, lostChanges, primaryLoss, seed}: RestoreOptions): Promise<RestoreFigures> {
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

	await clock.advance(WARM_UP_MS);
	const backup = system.store.takeBackup();
	for (let i = 0; i < lostChanges; i++) {
		changeRouting(system);
		await clock.advance(CHANGE_INTERVAL_MS);
	}

	await clock.advance(random.fraction() * EVENT_DELAY_MS);
	if (primaryLoss === PrimaryLoss.BeforeRestore) {
		await losePrimary(system);
	}

	await restoreStore(system, backup);
	const callsBefore = system.store.calls;
	const writer = startWriter(system);
	await clock.advance(EVENT_DELAY_MS);
	if (primaryLoss === PrimaryLoss.AfterRestore) {
		system.groups[0]!.crash(system.groups[0]!.latestPrimary);
	}

	const applyMs = await measureApplyMs(system);
	await clock.advance(Math.max(0, CALL_COUNT_MS - EVENT_DELAY_MS - applyMs));
	const storeCalls = system.store.calls - callsBefore;
	await clock.advance(RUN_MS - CALL_COUNT_MS);
	system.stop();
	return {applyMs, storeCalls, ...writer.finish()};
}

/** Changes the configuration as the operator does; resolves with the time until the last host has it, in milliseconds, or with Infinity. */
async function measureApplyMs(system: SimulatedProxies): Promise<number> {
	const {clock, proxies} = system;
	const version = changeRouting(system);
	const changedAt = clock.now();
	while (clock.now() < changedAt + RUN_MS) {
		if (proxies.every(proxy => getVersion(proxy) >= version)) {
			return clock.now() - changedAt;
		}

		await clock.advance(POLL_INTERVAL_MS);
	}

	return Number.POSITIVE_INFINITY;
}

function getVersion({kernel}: SimulatedProxy): number {
	return kernel.getOrThrow('storeMirror').state.routing?.version ?? 0;
}

/** Changes the configuration as the operator does; returns the new version. */
function changeRouting({store, proxies}: SimulatedProxies): number {
	const {routing} = proxies[0]!.kernel.getOrThrow('storeMirror').state;
	const version = Math.max(routing!.version, store.takeBackup().routing?.version ?? 0) + 1;
	store.setRouting({...routing!, version});
	return version;
}

async function losePrimary({clock, groups}: SimulatedProxies) {
	const group = groups[0]!;
	const former = group.latestPrimary;
	group.crash(former);
	await clock.advance(REPLACEMENT_MS);
	group.restart(former);
}

async function restoreStore({clock, store}: SimulatedProxies, backup: StoreBackup) {
	store.setFaults(undefined, {silent: true});
	await clock.advance(OUTAGE_MS);
	store.heal();
	store.restore(backup);
}

/** Starts a caller that writes repeatedly at the last host, in one session. */
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
			const response = await caller.ask(`w${i}`, parseStatement(`WRITE item ${i}`));
			if (response?.end.kind === 'complete') {
				noteGap();
				acknowledgedAt = clock.now();
			} else {
				refused++;
			}

			await clock.sleep(POLL_INTERVAL_MS);
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
