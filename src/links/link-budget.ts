/**
 * How many connections to one endpoint this host may open. Every host draws on the endpoint's one limit: each has a
 * share that is its own, and may go beyond it while the endpoint turns nobody away.
 */
export type LinkBudget = {
	/** Whether one more may be opened, `open` being open or on their way. */
	mayOpen(now: number, open: number): boolean;
	/** The endpoint turned a connection away. */
	noteTurnedAway(now: number): void;
	/** Connections that this host may open whatever others do. */
	readonly share: number;
	/** Connections that stay open while idle. */
	readonly kept: number;
};

/** Connections that are left to orders on the way to a promotion, which open one where they find none free. */
export const RESERVED_CONNECTIONS = 2;

/**
 * Part of the share that stays open while idle. After a loss of power of all hosts the endpoint keeps the connections of the dead for 3 s: with
 * the whole share open the limit was used up, and the hosts that came up were turned away for as long. With half of it, each of
 * them finds some connections free.
 */
const KEPT_PART = 0.5;

/** After being turned away nothing beyond the share is opened for so long, in milliseconds: about the length of a transaction. */
const BACK_OFF_MS = 500;

/** Within the share a host that was turned away tries again after so long, in milliseconds; a try costs the endpoint nothing. */
const RETRY_MS = 60;

/** What the hosts together may open. */
export type LinkLimits = {
	readonly maxConnections: number;
	/** Hosts that share them. */
	readonly hosts: number;
	/** Whether this host is one of them; one that is not keeps none open. */
	readonly keepsOwn: boolean;
};

/** Creates the budget for one endpoint. */
export function createLinkBudget(getLimits: () => LinkLimits): LinkBudget {
	let turnedAwayAt: number | undefined;

	const getShare = () => {
		const {maxConnections, hosts, keepsOwn} = getLimits();
		return keepsOwn ? Math.max(1, Math.floor((maxConnections - RESERVED_CONNECTIONS) / Math.max(1, hosts))) : 0;
	};

	return {
		get share() {
			return getShare();
		},
		get kept() {
			return Math.min(getShare(), Math.max(1, Math.floor(getShare() * KEPT_PART)));
		},
		mayOpen(now, open) {
			const since = turnedAwayAt === undefined ? Number.POSITIVE_INFINITY : now - turnedAwayAt;
			return open < getShare() ? since >= RETRY_MS : since >= BACK_OFF_MS && open < getLimits().maxConnections - RESERVED_CONNECTIONS;
		},
		noteTurnedAway(now) {
			turnedAwayAt = now;
		},
	};
}
