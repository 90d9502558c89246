import type {GroupConfig, WorkClass} from '../groups/group-config.js';
import {createSlotShares, type SlotShares} from '../scheduling/slot-shares.js';
import {WORK_CLASSES} from './class-queues.js';

/** Each class's share of the slot time, between 0 and 1. */
export type Shares = GroupConfig['classShares'];

/** The division of an endpoint's slot time between the classes. */
export type ClassShares = SlotShares<WorkClass>;

/** Upper bound of a class's credit, in multiples of the longest expected hold time: how long a burst may run before the others. */
const MAX_CREDIT_HOLDS = 16;

/** Creates the division of an endpoint's slot time. */
export function createClassShares(shares: Shares): ClassShares {
	return createSlotShares({classes: WORK_CLASSES, maxCreditHolds: MAX_CREDIT_HOLDS, getShare: workClass => shares[workClass]});
}
