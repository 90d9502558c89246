import type {Experiment, ExperimentOptions, ExperimentResult} from './experiment.js';
import {runFaults} from './overload/faults.js';
import {runHotGroup} from './overload/hot-group.js';
import {mergeParts, runLoadSweep} from './overload/load-sweep.js';
import {runQueueOrders} from './overload/queue-orders.js';
import {runRefusalCost} from './overload/refusal-cost.js';
import {runSharedServer} from './overload/shared-server.js';
import {SLOTS} from './overload/part.js';
import {SHARES} from './overload/policies.js';
import {getCapacity, USERS_MIX} from './overload/traffic.js';

/** Runs the product's admission control and retries against a queueing model of a server, in virtual time. */
export const overload: Experiment = {
	name: 'overload',
	description: 'Goodput, waits and recovery under 0.5 to 3 times capacity, faults and retries, with and without admission and retry budget',
	run,
};

async function run(options: ExperimentOptions): Promise<ExperimentResult> {
	const merged = mergeParts([
		await runLoadSweep(options),
		await runFaults(options),
		await runHotGroup(options),
		await runSharedServer(options),
		await runQueueOrders(options),
		await runRefusalCost(options),
	]);

	return {
		name: overload.name,
		description: overload.description,
		seeds: options.seeds,
		setting: getSetting(),
		...merged,
	};
}

function getSetting() {
	const entries = Object.entries(USERS_MIX).flatMap(([workClass, traffic]) => [
		[`${workClass} part of requests`, traffic.part],
		[`${workClass} mean work (ms)`, traffic.workMs],
		[`${workClass} deadline (ms)`, traffic.deadlineMs],
	]);
	return {
		...Object.fromEntries(entries) as Record<string, number>,
		...Object.fromEntries(Object.entries(SHARES).map(([workClass, share]) => [`${workClass} share`, share])),
		slots: SLOTS,
		'capacity (requests/s)': getCapacity(USERS_MIX, SLOTS),
	};
}
