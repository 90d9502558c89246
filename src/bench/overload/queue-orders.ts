import type {ExperimentOptions} from '../experiment.js';
import {
	getResponseMs, getGoodput, getInTimePart,
} from './figures.js';
import {LongerStageOrder} from './longer-stage-order.js';
import {
	comparePolicies, runOneGroup, type Figures, type ExperimentPart,
} from './part.js';
import {createProductPolicy, PRODUCT, type Policy} from './policies.js';
import {USERS_MIX, type Mix} from './traffic.js';

const LOADS = [0.8, 1, 2];
const LENGTH_MS = 25_000;
const WINDOW = {from: 5000, to: LENGTH_MS};

/** The users' mix with waits for replication whose mean is that of the execution time. */
const REPLICATED_MIX: Mix = {
	deadline: {...USERS_MIX.deadline, replicationMs: 10},
	interactive: {...USERS_MIX.interactive, replicationMs: 10},
	background: {...USERS_MIX.background, replicationMs: 30},
};

const ORDERS: readonly Policy[] = [
	PRODUCT,
	createProductPolicy('longer stage first, work known', {order: new LongerStageOrder(req => req.workMs)}),
	createProductPolicy('longer stage first, work as the class has it', {order: new LongerStageOrder(req => REPLICATED_MIX[req.class].workMs)}),
];

/** Compares ordering a class's queue by deadline with ordering it by the longer of two overlapping stages. */
export async function runQueueOrders(options: ExperimentOptions): Promise<ExperimentPart> {
	options.report('queue orders');
	return {...await comparePolicies(ORDERS, options, getFigures), plots: []};
}

async function getFigures(seed: number, policy: Policy): Promise<Figures> {
	const figures: Record<string, number> = {};
	for (const load of LOADS) {
		const {outcomes} = await runOneGroup(seed, {
			policy, mix: REPLICATED_MIX, groups: [{getLoad: () => load, faults: []}], lengthMs: LENGTH_MS,
		});
		const at = `at ${load}x with replication`;
		figures[`goodput ${at} (requests/s)`] = getGoodput(outcomes, WINDOW);
		figures[`interactive answered in time ${at} (part)`] = getInTimePart(outcomes, WINDOW, 'interactive');
		figures[`interactive median ${at} (ms)`] = getResponseMs(outcomes, WINDOW, 'interactive', 0.5);
		figures[`interactive p99 ${at} (ms)`] = getResponseMs(outcomes, WINDOW, 'interactive', 0.99);
		figures[`deadline p99 ${at} (ms)`] = getResponseMs(outcomes, WINDOW, 'deadline', 0.99);
		figures[`background answered in time ${at} (part)`] = getInTimePart(outcomes, WINDOW, 'background');
	}

	return figures;
}
