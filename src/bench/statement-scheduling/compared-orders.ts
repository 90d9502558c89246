import type {ScheduledRequest} from '../../scheduling/scheduled-request.js';
import {compareStartBy, UrgencyOrder} from '../../scheduling/urgency-order.js';

/** Strict priority with least shares, in order of arrival within a level: the order by urgency without the slot time of workspaces. */
export class StrictPriorityOrder extends UrgencyOrder {
	override compare(left: ScheduledRequest, right: ScheduledRequest): number {
		return left.order - right.order;
	}
}

/** Weighted fair queueing over the levels, each with half the weight of the one before, and over the workspaces within a level. */
export class FairLevelsOrder extends UrgencyOrder {
	override getNext(waiting: Iterable<ScheduledRequest>, now: number, isCandidate: (waiter: ScheduledRequest) => boolean): ScheduledRequest | undefined {
		return getLeast(waiting, isCandidate, (left, right) => {
			const [leftLevel, rightLevel] = [left.request.priority, right.request.priority];
			return leftLevel === rightLevel ? this.compare(left, right, now) : this.#getUsed(leftLevel, now) - this.#getUsed(rightLevel, now);
		});
	}

	#getUsed(level: number, now: number) {
		return this.getUsedSlots(level, now) * (2 ** level);
	}
}

/** Earliest latest-start first, over all levels and workspaces. */
export class LatestStartOrder extends UrgencyOrder {
	override getNext(waiting: Iterable<ScheduledRequest>, _now: number, isCandidate: (waiter: ScheduledRequest) => boolean): ScheduledRequest | undefined {
		return getLeast(waiting, isCandidate, compareStartBy);
	}
}

function getLeast(waiting: Iterable<ScheduledRequest>, isCandidate: (waiter: ScheduledRequest) => boolean, compare: (left: ScheduledRequest, right: ScheduledRequest) => number) {
	let least: ScheduledRequest | undefined;
	for (const waiter of waiting) {
		if (isCandidate(waiter) && (!least || compare(waiter, least) < 0)) {
			least = waiter;
		}
	}

	return least;
}
