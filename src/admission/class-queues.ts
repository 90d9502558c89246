import {WorkClass} from '../groups/group-config.js';
import type {AdmissionResult, AdmissionRequest} from './admission.js';
import type {QueueOrder} from './queue-order.js';

/** All classes, the most urgent first. */
export const WORK_CLASSES: readonly WorkClass[] = Object.values(WorkClass);

/** A request that waits for a slot. */
export type QueuedRequest = {
	readonly req: AdmissionRequest;
	/** Time at which it was queued, on the clock's `now`. */
	readonly queuedAt: number;
	/** Wait that the model estimated when the request was queued, before any correction, in milliseconds. */
	readonly modelWaitMs: number;
	/** Resolves the request with a slot or a refusal; called once. */
	resolve(result: AdmissionResult): void;
};

/** One queue for each class, each sorted by a {@link QueueOrder}. */
export type ClassQueues = {
	/** Number of waiting requests of all classes. */
	readonly total: number;
	getLength(workClass: WorkClass): number;
	/** Returns the requests of one class in queue order. */
	getAll(workClass: WorkClass): readonly QueuedRequest[];
	/** Returns the position that a request would take in its queue, from 0. */
	findPosition(req: AdmissionRequest): number;
	insert(queued: QueuedRequest): void;
	/** Removes and returns the first request of a class. */
	shift(workClass: WorkClass): QueuedRequest | undefined;
	/** Removes and returns the requests of a class that match the predicate, which is called in queue order. */
	removeWhere(workClass: WorkClass, isRemoved: (queued: QueuedRequest) => boolean): readonly QueuedRequest[];
};

/** Creates empty queues. */
export function createClassQueues(order: QueueOrder): ClassQueues {
	const queues: Record<WorkClass, QueuedRequest[]> = {deadline: [], interactive: [], background: []};
	let total = 0;

	const findPosition = (req: AdmissionRequest) => {
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
		findPosition,
		insert(queued) {
			queues[queued.req.class].splice(findPosition(queued.req), 0, queued);
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
