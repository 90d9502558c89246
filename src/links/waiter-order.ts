import type {AcquireRequest} from './endpoint-pool.js';
import {
	chooseWaiter, getNextWaiter, type ConnectionsInUse, type Waiter,
} from './choose-waiter.js';

/** Decides in which order the waiters of a pool are served. */
export interface WaiterOrder {
	/** Returns the waiter whose turn it is; undefined where none waits. */
	getNext(waiters: readonly Waiter[], getInUse: ConnectionsInUse, now: number): Waiter | undefined;
	/** Returns the waiter that gets a released connection of the workspace; undefined where the connection cannot serve the waiter whose turn it is. */
	choose(waiters: readonly Waiter[], workspace: string | undefined, getInUse: ConnectionsInUse, now: number): Waiter | undefined;
	/** Notes that a request got a connection after `waitedMs` milliseconds. */
	noteStarted(request: AcquireRequest, waitedMs: number, now: number): void;
	/** Notes that a request, or the opening of a connection for its workspace, has used a slot for `heldMs` milliseconds. */
	noteUsed(workspace: string | undefined, priority: number, heldMs: number, now: number): void;
}

/** By priority, then by connections in use of the workspace, then in order of arrival. */
export class ArrivalOrder implements WaiterOrder {
	getNext(waiters: readonly Waiter[], getInUse: ConnectionsInUse): Waiter | undefined {
		return getNextWaiter(waiters, getInUse);
	}

	choose(waiters: readonly Waiter[], workspace: string | undefined, getInUse: ConnectionsInUse, now: number): Waiter | undefined {
		return chooseWaiter(waiters, workspace, getInUse, now);
	}

	noteStarted() {} // eslint-disable-line @typescript-eslint/no-empty-function

	noteUsed() {} // eslint-disable-line @typescript-eslint/no-empty-function
}
