import type {AcquireRequest} from './endpoint-pool.js';
import type {SessionLink} from './link-session.js';

/** An acquire request that waits for a connection. */
export type Waiter = AcquireRequest & {
	readonly order: number;
	/** Steady time at which it began to wait. */
	readonly since: number;
	/** Ends the wait with a connection, or with undefined where there is none. */
	resolve(sessionLink: SessionLink | undefined): void;
};

/** Returns how many connections a workspace uses at the moment, including those that are being opened for it. */
export type ConnectionsInUse = (workspace: string | undefined) => number;

/**
 * For how long waiters of a connection's own workspace may be served before a waiter whose turn it is, in milliseconds: the time of a few statements. Opening a connection for that
 * waiter takes a slot of the endpoint as a statement does, and a busy endpoint has none to spare.
 */
const MAX_BYPASS_MS = 60;

/**
 * Returns the waiter whose turn it is: by priority, then by workspace, the one with the fewest connections in use first, then in order of arrival.
 *
 * The count by workspace matters where one workspace sends many times its usual load: in order of arrival alone, all others would wait behind its statements.
 */
export function getNextWaiter(waiters: readonly Waiter[], getInUse: ConnectionsInUse): Waiter | undefined {
	let next: Waiter | undefined;
	for (const waiter of waiters) {
		if (!next || compareWaiters(waiter, next, getInUse) < 0) {
			next = waiter;
		}
	}

	return next;
}

/**
 * Returns the waiter that gets a released connection, out of those that may acquire it; undefined where the connection cannot serve the waiter whose turn it is.
 *
 * It matters for an endpoint that has fewer connections than workspaces, all of them in use.
 */
export function chooseWaiter(waiters: readonly Waiter[], workspace: string | undefined, getInUse: ConnectionsInUse, now: number): Waiter | undefined {
	const next = getNextWaiter(waiters, getInUse);
	if (!next || next.workspace === workspace) {
		return next;
	}

	return now - next.since < MAX_BYPASS_MS
		? waiters.find(waiter => waiter.workspace === workspace && waiter.priority === next.priority)
		: undefined;
}

/** Returns the waiters for which no connection is being opened; each connection that is being opened counts for the first waiter of its workspace. */
export function getUnservedWaiters(waiters: readonly Waiter[], openingFor: ReadonlyArray<string | undefined>): readonly Waiter[] {
	const unassigned = [...openingFor];
	return waiters.filter(({workspace}) => {
		const at = unassigned.indexOf(workspace);
		if (at !== -1) {
			unassigned.splice(at, 1);
		}

		return at === -1;
	});
}

function compareWaiters(left: Waiter, right: Waiter, getInUse: ConnectionsInUse): number {
	return left.priority - right.priority
		|| (left.workspace === right.workspace ? 0 : getInUse(left.workspace) - getInUse(right.workspace))
		|| left.order - right.order;
}
