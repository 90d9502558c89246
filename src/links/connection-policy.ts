import type {AcquireRequest} from './endpoint-pool.js';
import type {IdleLink} from './idle-links.js';
import type {LinkBudget} from './link-budget.js';
import type {SessionLink} from './link-session.js';

/** Decides which connections of a pool are opened, kept and closed. */
export interface ConnectionPolicy {
	/** What the pool tells the policy; undefined where the policy decides by the idle connections alone. */
	readonly events?: ConnectionEvents;
	/**
	 * Whether a waiter whose turn it is gets an idle connection of its workspace before one is opened, and is passed over where none may be opened, so that one may be opened for a waiter
	 * of another workspace.
	 */
	readonly sparesOpenings: boolean;
	/** Returns those of the waiters, which have no connection under way, for which one is to be opened; the others wait for one of their workspace's own. */
	chooseOpenings<T extends Pick<AcquireRequest, 'workspace'>>(waiters: readonly T[], now: number): readonly T[];
	/** Returns the idle connection, out of those of other workspaces, that is closed so that one can be opened for `workspace`; undefined where none is to be closed. */
	chooseEvicted(idle: readonly IdleLink[], workspace: string | undefined, budget: LinkBudget, now: number): IdleLink | undefined;
	/** Returns an idle connection that is closed because it has been idle for too long, where `open` connections are open; undefined where there is none. */
	chooseExpired(idle: readonly IdleLink[], open: number, budget: LinkBudget, now: number): IdleLink | undefined;
	/** Returns up to how many connections are opened without an idle one being closed first. */
	getOpenedFreely(budget: LinkBudget, now: number): number;
}

/** What happens to the connections of a pool; times are steady times in milliseconds. */
export interface ConnectionEvents {
	/** Notes a request of the workspace for a connection. */
	noteRequested(workspace: string | undefined, now: number): void;
	noteOpening(workspace: string | undefined): void;
	/** Notes that a connection was opened in `tookMs` milliseconds. */
	noteOpened(sessionLink: SessionLink, tookMs: number, now: number): void;
	/** Notes that a connection was not opened; `isLimitReached` says that the endpoint has too many connections or too much work. */
	noteOpenFailed(workspace: string | undefined, isLimitReached: boolean, now: number): void;
	/** Notes that a request holds the connection; `single` says that it runs one statement that leaves no transaction open. */
	noteAcquired(sessionLink: SessionLink, single: boolean, now: number): void;
	noteReleased(sessionLink: SessionLink, now: number): void;
	/** Notes that a connection has ended, whoever ended it. */
	noteClosed(sessionLink: SessionLink): void;
	/** Called several times a second. */
	maintain(now: number): void;
}

/** Idle time after which a connection beyond the host's share is closed, in milliseconds, so that other hosts can open one. */
export const EXCESS_IDLE_TIMEOUT_MS = 1000;

/** Idle time after which a connection within the share, beyond those that stay open, is closed, in milliseconds: reopening one costs 12 ms of a slot. */
const SHARE_IDLE_TIMEOUT_MS = 3000;

/** Closes the connection that has been idle longest, and opens one for each waiter as far as the budget allows. */
export class LongestIdlePolicy implements ConnectionPolicy {
	get sparesOpenings() {
		return false;
	}

	chooseOpenings<T extends Pick<AcquireRequest, 'workspace'>>(waiters: readonly T[]): readonly T[] {
		return waiters;
	}

	chooseEvicted(idle: readonly IdleLink[], workspace: string | undefined): IdleLink | undefined {
		return idle.find(({sessionLink}) => sessionLink.workspace !== workspace);
	}

	chooseExpired(idle: readonly IdleLink[], open: number, {kept, share}: LinkBudget, now: number): IdleLink | undefined {
		const timeoutMs = open <= share ? SHARE_IDLE_TIMEOUT_MS : EXCESS_IDLE_TIMEOUT_MS;
		return open > kept && idle[0] && idle[0].since < now - timeoutMs ? idle[0] : undefined;
	}

	getOpenedFreely({share}: LinkBudget): number {
		return share;
	}
}
