import {createArrivalQueue} from './arrival-queue.js';
import type {RequestQueue, RequestQueueParts} from './request-queue.js';

/** Decides in which order, and for how long, the requests of a pool wait for a connection. */
export interface WaiterOrder {
	/** Whether a transaction counts as in flight while one of its statements is. */
	readonly countsTransactions: boolean;
	/** Creates the queue of one pool; the order of one pool serves no other. */
	createQueue(parts: RequestQueueParts): RequestQueue;
}

/** By priority, then by connections in use of the workspace, then in order of arrival. */
export class ArrivalOrder implements WaiterOrder {
	get countsTransactions() {
		return false;
	}

	createQueue(parts: RequestQueueParts): RequestQueue {
		return createArrivalQueue(parts);
	}
}
