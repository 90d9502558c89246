/**
 * Limits how many connections to one endpoint this host may open. All hosts share the endpoint's limit: each has a
 * share of its own, and may exceed it while the endpoint rejects no connection.
 */
export type LinkBudget = {
	/** Returns whether one more may be opened, where `open` connections are open or being opened. */
	mayOpen(now: number, open: number): boolean;
	/** Notes that the endpoint rejected a connection. */
	noteRejected(now: number): void;
	/** Number of connections that this host may open whatever others do. */
	readonly share: number;
	/** Number of connections that stay open while idle. */
	readonly kept: number;
};

/** Number of connections that are left to the commands of a promotion, which open one where none is free. */
export const RESERVED_CONNECTIONS = 2;

/**
 * Fraction of the share that stays open while idle. After a power failure of all hosts, the endpoint keeps their old connections for 3 s. Where the whole
 * share was kept open, these used up the limit, and hosts that restarted were rejected for that time. With half of it, each of
 * them finds some connections free.
 */
const KEPT_FRACTION = 0.5;

/** Time after a rejection during which nothing beyond the share is opened, in milliseconds: about the length of a transaction. */
const BACK_OFF_MS = 500;

/** Time after a rejection until a connection within the share is tried again, in milliseconds; a try costs the endpoint nothing. */
const SHARE_RETRY_DELAY_MS = 60;

/** The limit that the hosts share, and how many they are. */
export type LinkLimits = {
	readonly maxConnections: number;
	/** Number of hosts that share the connections. */
	readonly hosts: number;
	/** Whether this host is one of them; any other host keeps none open. */
	readonly isPoolHost: boolean;
};

/** Creates the budget for one endpoint. */
export function createLinkBudget(getLimits: () => LinkLimits): LinkBudget {
	let rejectedAt: number | undefined;

	const getShare = () => {
		const {maxConnections, hosts, isPoolHost} = getLimits();
		return isPoolHost ? Math.max(1, Math.floor((maxConnections - RESERVED_CONNECTIONS) / Math.max(1, hosts))) : 0;
	};

	return {
		get share() {
			return getShare();
		},
		get kept() {
			return Math.min(getShare(), Math.max(1, Math.floor(getShare() * KEPT_FRACTION)));
		},
		mayOpen(now, open) {
			const since = rejectedAt === undefined ? Number.POSITIVE_INFINITY : now - rejectedAt;
			return open < getShare() ? since >= SHARE_RETRY_DELAY_MS : since >= BACK_OFF_MS && open < getLimits().maxConnections - RESERVED_CONNECTIONS;
		},
		noteRejected(now) {
			rejectedAt = now;
		},
	};
}
