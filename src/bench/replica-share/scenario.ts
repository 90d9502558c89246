import {createReadPath, type ReadPath} from '../../owners/read-path.js';
import type {ReadPlacement} from '../../owners/read-placement.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import {startLag, type ReplicaLag} from './lag-model.js';
import {OraclePlacement, withTrueAges} from './placements.js';
import {createShareSystem, type ShareSystem} from './share-system.js';
import {createWorkload, type ReadResult, type Traffic} from './workload.js';

/** How the two replicas lag. */
export type Lags = {
	readonly name: string;
	readonly replicas: readonly [ReplicaLag, ReplicaLag];
};

/** A way to place reads. */
export type Policy = {
	readonly name: string;
	/** Whether sessions raise their floors by reads. */
	readonly monotonicReads?: boolean;
	createPlacement(system: ShareSystem, seed: number): ReadPlacement;
};

/** What one run is made of. */
export type Scenario = {
	readonly policy: Policy;
	readonly lags: Lags;
	readonly traffic: Traffic;
};

/** What one run gave. */
export type RunResult = {
	/** Of the reads asked within the measured time. */
	readonly reads: readonly ReadResult[];
	readonly failedSyncs: number;
};

const MEASURED_MS = 8000;

/** Reads flow for this long before they are counted, in milliseconds. */
const SETTLE_MS = 2000;

/** Time for the last answers, in milliseconds. */
const END_MS = 6000;

/** Syncs flow for this part of the longest lag before, so that the replica is as far behind as it will be. */
const LAGS_BEFORE = 1.7;

/** Runs a scenario in virtual time. */
export async function runScenario({policy, lags, ...scenario}: Scenario, seed: number): Promise<RunResult> {
	const traffic = {...scenario.traffic, monotonicReads: policy.monotonicReads};
	const system = createShareSystem(seed);
	const {schedule} = system;
	const placement = policy.createPlacement(system, seed);
	const isOracle = placement instanceof OraclePlacement;
	const reads = system.owners.map(({parts}): ReadPath => createReadPath(isOracle ? withTrueAges(parts, system) : parts, placement));
	const workload = createWorkload(system, reads);
	void workload.prepare();
	await schedule.runUntil(1500);

	for (const [i, lag] of lags.replicas.entries()) {
		startLag(system.servers[i + 1]!, lag, schedule, createSeededRandom(seed + 3000 + i));
	}

	const readsFrom = schedule.now() + (Math.max(...lags.replicas.map(({medianMs}) => medianMs)) * LAGS_BEFORE);
	const measuredFrom = readsFrom + SETTLE_MS;
	const until = measuredFrom + MEASURED_MS;
	void workload.sendSyncs(traffic, until);
	await schedule.runUntil(readsFrom);
	void workload.sendReads(traffic, until);
	await schedule.runUntil(until + END_MS);
	system.stop();
	return {reads: workload.results.filter(({askedAt}) => askedAt >= measuredFrom), failedSyncs: workload.failedSyncs};
}
