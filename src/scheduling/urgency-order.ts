import type {RequestQueue, RequestQueueParts} from '../links/request-queue.js';
import type {WaiterOrder} from '../links/waiter-order.js';
import {createScheduledQueue} from './scheduled-queue.js';
import {getCostFactor, isInTime, type ScheduledRequest} from './scheduled-request.js';
import type {SchedulingMetrics} from './scheduling-metrics.js';
import {createSlotShares, type SlotReservation} from './slot-shares.js';
import {createSlotUsage} from './slot-usage.js';

/** Slot time that was charged in advance. */
export type SlotCharge = {
	readonly reservation: SlotReservation<number>;
	readonly workspace: string | undefined;
	/** Factor by which the slot time of the workspace counts. */
	readonly factor: number;
	readonly expectedMs: number;
};

/** Upper bound of the credit of a priority level, in multiples of the longest expected hold time: a level that was idle may delay more urgent ones by a few statements. */
const MAX_CREDIT_HOLDS = 4;

/**
 * For how long requests whose workspaces have an idle connection may be served before the one whose turn it is, in milliseconds: the time of a few statements. Opening a connection
 * for that one takes a slot of the endpoint as a statement does, and a busy endpoint has none to spare.
 */
const MAX_BYPASS_MS = 60;

/**
 * Orders requests by priority level, where each level that waits keeps a share of the slot time; within a level those that can still start in time go first,
 * then the workspace that has used the least slot time by its weight, then the earliest latest-start time.
 *
 * It responds to several routes or workspaces that ask for more than an endpoint can run: a burst of a less urgent route must not delay urgent ones, and one
 * workspace at many times its load must not delay others.
 */
export class UrgencyOrder implements WaiterOrder {
	readonly #leastShare: number;
	readonly #metrics: SchedulingMetrics | undefined;
	/** The priority levels that were seen, the most urgent first. */
	readonly #levels: number[] = [];
	readonly #shares;
	readonly #usage = createSlotUsage<string | undefined>();
	readonly #levelUsage = createSlotUsage<number>();

	/** @param leastShare Share of the slot time that each waiting level keeps, from 0 to 1. */
	constructor(leastShare: number, metrics?: SchedulingMetrics) {
		this.#leastShare = leastShare;
		this.#metrics = metrics;
		this.#shares = createSlotShares({classes: this.#levels, maxCreditHolds: MAX_CREDIT_HOLDS, getShare: () => leastShare});
	}

	get countsTransactions() {
		return true;
	}

	createQueue(parts: RequestQueueParts): RequestQueue {
		return createScheduledQueue({...parts, order: this, metrics: this.#metrics});
	}

	/** The priority levels that were seen, the most urgent first. */
	get levels(): readonly number[] {
		return this.#levels;
	}

	/** Notes that a request of the level has arrived. */
	noteLevel(level: number): void {
		if (!this.#levels.includes(level)) {
			this.#levels.push(level);
			this.#levels.sort((left, right) => left - right);
		}
	}

	/** Returns the request whose turn it is out of those that match; undefined where there is none. */
	getNext(waiting: Iterable<ScheduledRequest>, now: number, isCandidate: (waiter: ScheduledRequest) => boolean): ScheduledRequest | undefined {
		const best = new Map<number, ScheduledRequest>();
		for (const waiter of waiting) {
			if (isCandidate(waiter)) {
				const level = waiter.request.priority;
				const first = best.get(level);
				if (!first || this.compare(waiter, first, now) < 0) {
					best.set(level, waiter);
				}
			}
		}

		const level = best.size > 1 ? this.#shares.pick(candidate => best.has(candidate)) : best.keys().next().value;
		return level === undefined ? undefined : best.get(level);
	}

	/** Compares two requests of one level; negative where `left` goes first. */
	compare(left: ScheduledRequest, right: ScheduledRequest, now: number): number {
		const leftInTime = isInTime(left, now);
		if (leftInTime !== isInTime(right, now)) {
			return leftInTime ? -1 : 1;
		}

		if (left.request.workspace !== right.request.workspace) {
			const difference = this.#usage.getRank(left.request.workspace) - this.#usage.getRank(right.request.workspace);
			if (difference !== 0) {
				return difference;
			}
		}

		return compareStartBy(left, right);
	}

	/** Returns whether `other`, whose workspace has an idle connection, may go before `next`, for whose workspace one would have to be opened in `openMs` milliseconds. */
	mayBypass(other: ScheduledRequest, next: ScheduledRequest, openMs: number, now: number): boolean {
		const isAlike = other.request.priority === next.request.priority && isInTime(other, now) === isInTime(next, now);
		const slackMs = (next.request.startBy ?? Number.POSITIVE_INFINITY) - now;
		return isAlike && now - next.since < MAX_BYPASS_MS && slackMs > openMs + other.serviceMs;
	}

	/** Returns the slot time that a workspace has used, divided by its weight, in milliseconds. */
	getUsedMs(workspace: string | undefined, now: number): number {
		return this.#usage.get(workspace, now);
	}

	/** Returns the slot time that a level uses in each millisecond, as a number of slots. */
	getUsedSlots(level: number, now: number): number {
		return this.#levelUsage.getRate(level, now);
	}

	/** Returns the share of the slot time that a level keeps while it has waiting requests. */
	getLeastShare(level: number): number {
		return this.#levels.length === 0 ? this.#leastShare : this.#shares.getShare(level);
	}

	/** Charges the expected slot time of a request, or of opening a connection for it, when it starts. */
	charge({request}: Pick<ScheduledRequest, 'request'>, expectedMs: number, now: number): SlotCharge {
		const factor = getCostFactor(request);
		this.#usage.add(request.workspace, expectedMs * factor, now);
		this.#levelUsage.add(request.priority, expectedMs, now);
		return {
			reservation: this.#shares.reserve(request.priority, expectedMs), workspace: request.workspace, factor, expectedMs,
		};
	}

	/** Corrects a charge to the slot time that was used. */
	complete({reservation, workspace, factor, expectedMs}: SlotCharge, usedMs: number, now: number): void {
		this.#usage.add(workspace, (usedMs - expectedMs) * factor, now);
		this.#levelUsage.add(reservation.class, usedMs - expectedMs, now);
		this.#shares.complete(reservation, usedMs);
	}
}

/** Compares two requests by the time by which they have to start, then by arrival. */
export function compareStartBy(left: ScheduledRequest, right: ScheduledRequest): number {
	const leftBy = left.request.startBy ?? Number.POSITIVE_INFINITY;
	const rightBy = right.request.startBy ?? Number.POSITIVE_INFINITY;
	return leftBy === rightBy ? left.order - right.order : leftBy - rightBy;
}
