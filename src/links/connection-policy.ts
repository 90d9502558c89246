import type {IdleLink} from './idle-links.js';

/** Decides which connections of a pool are opened, kept and closed. */
export interface ConnectionPolicy {
	/** Returns the idle connection, out of those of other workspaces, that is closed so that one can be opened for `workspace`; undefined where none is to be closed. */
	chooseEvicted(idle: readonly IdleLink[], workspace: string | undefined, now: number): IdleLink | undefined;
	/** Returns whether a connection is opened for a workspace rather than waiting for one of its own `inUse` connections. */
	isOpeningUseful(workspace: string | undefined, inUse: number, now: number): boolean;
	/** Returns the idle time after which a connection is closed, in milliseconds. */
	getIdleTimeoutMs(isWithinShare: boolean): number;
	/** Notes a request of the workspace. */
	noteRequested(workspace: string | undefined, now: number): void;
	/** Notes that a request of the workspace held a connection for `heldMs` milliseconds. */
	noteHeld(workspace: string | undefined, heldMs: number, now: number): void;
}

/** Idle time after which a connection beyond the host's share is closed, in milliseconds, so that other hosts can open one. */
const EXCESS_IDLE_TIMEOUT_MS = 1000;

/** Idle time after which a connection within the share, beyond those that stay open, is closed, in milliseconds: reopening one costs 12 ms of a slot. */
const SHARE_IDLE_TIMEOUT_MS = 3000;

/** Closes the connection that has been idle longest, and opens one for each waiter as far as the budget allows. */
export class LongestIdlePolicy implements ConnectionPolicy {
	chooseEvicted(idle: readonly IdleLink[], workspace: string | undefined): IdleLink | undefined {
		return idle.find(({sessionLink}) => sessionLink.workspace !== workspace);
	}

	isOpeningUseful() {
		return true;
	}

	getIdleTimeoutMs(isWithinShare: boolean) {
		return isWithinShare ? SHARE_IDLE_TIMEOUT_MS : EXCESS_IDLE_TIMEOUT_MS;
	}

	noteRequested() {} // eslint-disable-line @typescript-eslint/no-empty-function

	noteHeld() {} // eslint-disable-line @typescript-eslint/no-empty-function
}
