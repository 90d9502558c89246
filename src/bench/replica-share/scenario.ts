import {createReadPath, type ReadPath} from '../../owners/read-path.js';
import type {ReadPlacement} from '../../owners/read-placement.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import {startLag, type ReplicaLag} from './lag-model.js';
import {OraclePlacement, withTrueAges} from './placements.js';
import {createShareSystem, type ShareSystem} from './share-system.js';
import {createWorkload, type ReadResult, type Traffic} from './workload.js';

/** The lags of the two replicas. */
export type Lags = {
	readonly name: string;
	readonly replicas: readonly [ReplicaLag, ReplicaLag];
};

/** A policy for placing reads. */
export type Policy = {
	readonly name: string;
	/** Whether reads raise the floors of their sessions. */
	readonly monotonicReads?: boolean;
	createPlacement(system: ShareSystem, seed: number): ReadPlacement;
};

/** Settings of one run. */
export type Scenario = {
	readonly policy: Policy;
	readonly lags: Lags;
	readonly traffic: Traffic;
};

/** Results of one run. */
export type RunResult = {
	/** Results of the reads sent within the measured time. */
	readonly reads: readonly ReadResult[];
	/** Number of syncs that were not acknowledged. */
	readonly failedSyncs: number;
};

const MEASURED_MS = 8000;

/** Time for which reads are sent before they are measured, in milliseconds. */
const WARM_UP_MS = 2000;

/** Time after the last read in which outstanding responses may arrive, in milliseconds. */
const DRAIN_MS = 6000;

/** Syncs are sent for this multiple of the longest median lag before the reads, so that the replica has reached its full lag. */
const LAG_BUILD_UP_FACTOR = 1.7;

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

	const readsFrom = schedule.now() + (Math.max(...lags.replicas.map(({medianMs}) => medianMs)) * LAG_BUILD_UP_FACTOR);
	const measuredFrom = readsFrom + WARM_UP_MS;
	const until = measuredFrom + MEASURED_MS;
	void workload.sendSyncs(traffic, until);
	await schedule.runUntil(readsFrom);
	void workload.sendReads(traffic, until);
	await schedule.runUntil(until + DRAIN_MS);
	system.stop();
	return {reads: workload.results.filter(({sentAt}) => sentAt >= measuredFrom), failedSyncs: workload.failedSyncs};
}
