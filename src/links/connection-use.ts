import {OpeningCause, type ConnectionMetrics, type EvictionCause} from './connection-metrics.js';
import type {ConnectionEvents} from './connection-policy.js';
import {createHeldLinks} from './held-links.js';
import type {SessionLink} from './link-session.js';
import {createWorkspaceDemand} from './workspace-demand.js';

/** How the connections of a pool are used; it is kept up to date by the pool's events. */
export type ConnectionUse = ConnectionEvents & {
	/** Smoothed time of opening a connection, with its wait for a slot of the endpoint, in milliseconds. */
	readonly openMs: number;
	/** Steady time at which the endpoint last rejected a connection. */
	readonly rejectedAt: number;
	/** Whether the last opening that ended was rejected by the endpoint. */
	readonly isRejecting: boolean;
	/** Returns the expected times until the workspace's connections in use are released, in milliseconds, the soonest first. */
	getRemainingMs(workspace: string | undefined, now: number): readonly number[];
	/** Returns the smoothed time for which a single statement of the workspace holds a connection, in milliseconds. */
	getHeldMs(workspace: string | undefined): number;
	/** Returns how often per second the last of `count` connections of the workspace would be used. */
	getUseRate(workspace: string | undefined, count: number, now: number): number;
	/** Returns how often per second the last of the workspace's connections is used. */
	getLastUseRate(workspace: string | undefined, now: number): number;
	/** Returns the number of connections that are used less often than `limit` times per second, including those that are being opened, without those in transactions. */
	countUsedLess(limit: number, now: number): number;
	/** Returns whether the workspace has a connection that is idle, being opened or held by a single statement. */
	hasUsable(workspace: string | undefined): boolean;
	/** Returns whether the connection was opened after `since` and has served no request. */
	isUnused(sessionLink: SessionLink, since: number): boolean;
	noteEvicted(cause: EvictionCause): void;
};

/** What the record of use needs. */
export type ConnectionUseOptions = {
	readonly metrics: ConnectionMetrics;
	onSummary?(summary: Readonly<Record<string, unknown>>): void;
	readonly timeConstantMs?: number;
};

/** Time of an opening before the first one is measured, in milliseconds: that which an endpoint takes for it without a queue. */
const INITIAL_OPEN_MS = 12;

/** Fraction by which the time of an opening changes the smoothed one. */
const OPEN_SMOOTHING = 0.2;

/** Interval of the summaries, in milliseconds. */
const SUMMARY_INTERVAL_MS = 10_000;

/** Number of workspaces above which those without a connection are forgotten; forgotten ones count as new at their next opening. */
const MAX_KNOWN = 1000;

const createCounts = () => ({
	requests: 0, [OpeningCause.First]: 0, [OpeningCause.More]: 0, [OpeningCause.Reopened]: 0, evicted: 0, rejected: 0,
});

/** Creates the record for a pool without connections. */
export function createConnectionUse({metrics, onSummary, timeConstantMs}: ConnectionUseOptions): ConnectionUse {
	const demand = createWorkspaceDemand(timeConstantMs);
	const held = createHeldLinks();
	/** Connections by workspace, including those that are being opened. */
	const counts = new Map<string | undefined, number>();
	/** Workspaces that have had a connection. */
	const known = new Set<string | undefined>();
	const unused = new Map<SessionLink, number>();
	const transactions = new Map<string | undefined, number>();
	let openMs = INITIAL_OPEN_MS;
	let isRejecting = false;
	let rejectedAt = Number.NEGATIVE_INFINITY;
	let inInterval = createCounts();
	let summarizedAt: number | undefined;

	const change = (map: Map<string | undefined, number>, workspace: string | undefined, by: number) => {
		const count = (map.get(workspace) ?? 0) + by;
		if (count > 0) {
			map.set(workspace, count);
		} else {
			map.delete(workspace);
		}
	};

	const endUse = (sessionLink: SessionLink, now: number) => {
		const use = held.noteReleased(sessionLink, now);
		if (use && !use.single) {
			change(transactions, sessionLink.workspace, -1);
		}

		return use;
	};

	const getLastUseRate = (workspace: string | undefined, now: number) => demand.getUseRate(workspace, counts.get(workspace) ?? 1, now);

	const forgetUnused = (now: number) => {
		demand.dropUnused(now);
		if (known.size > MAX_KNOWN) {
			for (const workspace of known) {
				if (!counts.has(workspace)) {
					known.delete(workspace);
				}
			}
		}
	};

	const summarize = (now: number) => {
		const {requests, first, more, reopened, evicted, rejected} = inInterval;
		if (first + more + reopened + rejected > 0) {
			onSummary?.({
				requests, first, more, reopened, evicted, rejected, open: [...counts.values()].reduce((sum, count) => sum + count, 0), workspaces: counts.size, openMs: Math.round(openMs),
			});
		}

		inInterval = createCounts();
		summarizedAt = now;
	};

	return {
		get openMs() {
			return openMs;
		},
		get rejectedAt() {
			return rejectedAt;
		},
		get isRejecting() {
			return isRejecting;
		},
		getRemainingMs: (workspace, now) => held.getRemainingMs(workspace, single => demand.getHeldMs(workspace, single), now),
		getHeldMs: workspace => demand.getHeldMs(workspace, true),
		getUseRate: (workspace, count, now) => demand.getUseRate(workspace, count, now),
		getLastUseRate,
		countUsedLess(limit, now) {
			let less = 0;
			for (const [workspace, count] of counts) {
				const usable = count - (transactions.get(workspace) ?? 0);
				for (let i = count; i > count - usable && demand.getUseRate(workspace, i, now) < limit; i--) {
					less++;
				}
			}

			return less;
		},
		hasUsable: workspace => (counts.get(workspace) ?? 0) > (transactions.get(workspace) ?? 0),
		isUnused: (sessionLink, since) => (unused.get(sessionLink) ?? Number.NEGATIVE_INFINITY) > since,
		noteEvicted(cause) {
			inInterval.evicted++;
			metrics.countEviction(cause);
		},
		noteRequested(workspace, now) {
			demand.noteRequested(workspace, now);
			inInterval.requests++;
			metrics.countRequest();
		},
		noteOpening(workspace) {
			const cause = counts.has(workspace) ? OpeningCause.More : (known.has(workspace) ? OpeningCause.Reopened : OpeningCause.First);
			change(counts, workspace, 1);
			inInterval[cause]++;
			metrics.countOpening(cause);
		},
		noteOpened(sessionLink, tookMs, now) {
			isRejecting = false;
			known.add(sessionLink.workspace);
			unused.set(sessionLink, now);
			openMs += OPEN_SMOOTHING * (tookMs - openMs);
		},
		noteOpenFailed(workspace, isLimitReached, now) {
			change(counts, workspace, -1);
			if (isLimitReached) {
				isRejecting = true;
				rejectedAt = now;
				inInterval.rejected++;
				metrics.countRejection();
			}
		},
		noteAcquired(sessionLink, single, now) {
			unused.delete(sessionLink);
			held.noteAcquired(sessionLink, single, now);
			if (!single) {
				change(transactions, sessionLink.workspace, 1);
			}
		},
		noteReleased(sessionLink, now) {
			const use = endUse(sessionLink, now);
			if (use) {
				demand.noteHeld(sessionLink.workspace, use.single, use.heldMs);
			}
		},
		noteClosed(sessionLink) {
			change(counts, sessionLink.workspace, -1);
			unused.delete(sessionLink);
			endUse(sessionLink, 0);
		},
		maintain(now) {
			summarizedAt ??= now;
			if (now - summarizedAt >= SUMMARY_INTERVAL_MS) {
				forgetUnused(now);
				summarize(now);
			}
		},
	};
}
