import {WorkClass} from '../groups/group-config.js';
import type {AdmissionAnswer, AdmissionRequest} from './admission.js';
import type {QueueOrder} from './queue-order.js';

/** The classes from the most urgent. */
export const WORK_CLASSES: readonly WorkClass[] = Object.values(WorkClass);

/** A request that waits for a slot. */
export type QueuedRequest = {
	readonly req: AdmissionRequest;
	/** When it came, on the clock's `now`. */
	readonly enteredAt: number;
	/** How long the model of the wait had it wait, in milliseconds. */
	readonly modelWaitMs: number;
	/** Gives it its one answer. */
	answer(answer: AdmissionAnswer): void;
};

/** One queue for each class, each kept in the order given. */
export type ClassQueues = {
	/** How many wait in all. */
	readonly total: number;
	getLength(workClass: WorkClass): number;
	/** Those of one class, first to run first. */
	getAll(workClass: WorkClass): readonly QueuedRequest[];
	/** The place that a request would take in its queue, from 0. */
	findPlace(req: AdmissionRequest): number;
	insert(queued: QueuedRequest): void;
	/** Takes out the first of a class. */
	shift(workClass: WorkClass): QueuedRequest | undefined;
	/** Takes out those of a class that the test picks; it is called in queue order. */
	removeWhere(workClass: WorkClass, isRemoved: (queued: QueuedRequest) => boolean): readonly QueuedRequest[];
};

/** Creates empty queues. */
export function createClassQueues(order: QueueOrder): ClassQueues {
	const queues: Record<WorkClass, QueuedRequest[]> = {deadline: [], interactive: [], background: []};
	let total = 0;

	const findPlace = (req: AdmissionRequest) => {
		const queue = queues[req.class];
		let low = 0;
		let high = queue.length;
		while (low < high) {
			const middle = (low + high) >>> 1;
			if (order.compare(queue[middle]!.req, req) <= 0) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	};

	return {
		get total() {
			return total;
		},
		getLength: workClass => queues[workClass].length,
		getAll: workClass => queues[workClass],
		findPlace,
		insert(queued) {
			queues[queued.req.class].splice(findPlace(queued.req), 0, queued);
			total++;
		},
		shift(workClass) {
			const first = queues[workClass].shift();
			total -= first ? 1 : 0;
			return first;
		},
		removeWhere(workClass, isRemoved) {
			if (queues[workClass].length === 0) {
				return [];
			}

			const removed: QueuedRequest[] = [];
			const kept: QueuedRequest[] = [];
			for (const queued of queues[workClass]) {
				(isRemoved(queued) ? removed : kept).push(queued);
			}

			if (removed.length > 0) {
				queues[workClass] = kept;
				total -= removed.length;
			}

			return removed;
		},
	};
}
