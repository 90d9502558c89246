import type {LinkWish} from './endpoint-pool.js';
import type {SessionLink} from './link-session.js';

/** Whoever waits for a connection. */
export type Waiter = LinkWish & {
	readonly order: number;
	/** Steady time since which it waits. */
	readonly since: number;
	give(sessionLink: SessionLink | undefined): void;
};

/** How many connections a workspace uses at the moment, those that are being opened for it included. */
export type ConnectionsInUse = (workspace: string | undefined) => number;

/**
 * A waiter is passed over by others of the connection's own workspace for so long, in milliseconds: some statements' time. Opening a connection for it takes a slot of the endpoint as
 * a statement does, which a busy one can spare least.
 */
const PASSED_OVER_MS = 60;

/**
 * Whose turn it is: by priority, then that of the workspace with the fewest connections in use, then in order of arrival.
 *
 * For one workspace that asks for many times its usual while others ask as always: in order of arrival alone these would wait behind all of its statements.
 */
export function getNextWaiter(waiters: readonly Waiter[], getInUse: ConnectionsInUse): Waiter | undefined {
	let next: Waiter | undefined;
	for (const waiter of waiters) {
		if (!next || compareTurns(waiter, next, getInUse) < 0) {
			next = waiter;
		}
	}

	return next;
}

/**
 * Chooses who gets a connection that came free, of those who may take it; undefined where it cannot serve the one whose turn it is.
 *
 * For an endpoint whose connections are all in use, with fewer of them than workspaces.
 */
export function chooseWaiter(waiters: readonly Waiter[], workspace: string | undefined, getInUse: ConnectionsInUse, now: number): Waiter | undefined {
	const next = getNextWaiter(waiters, getInUse);
	if (!next || next.workspace === workspace) {
		return next;
	}

	return now - next.since < PASSED_OVER_MS
		? waiters.find(waiter => waiter.workspace === workspace && waiter.priority === next.priority)
		: undefined;
}

/** Those for whom no connection is being opened, where each opening serves the first who waits for its workspace. */
export function getUnservedWaiters(waiters: readonly Waiter[], openingFor: ReadonlyArray<string | undefined>): readonly Waiter[] {
	const underWay = [...openingFor];
	return waiters.filter(({workspace}) => {
		const at = underWay.indexOf(workspace);
		if (at !== -1) {
			underWay.splice(at, 1);
		}

		return at === -1;
	});
}

function compareTurns(left: Waiter, right: Waiter, getInUse: ConnectionsInUse): number {
	return left.priority - right.priority
		|| (left.workspace === right.workspace ? 0 : getInUse(left.workspace) - getInUse(right.workspace))
		|| left.order - right.order;
}
