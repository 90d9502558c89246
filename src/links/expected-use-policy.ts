import {EvictionCause, type ConnectionMetrics} from './connection-metrics.js';
import {EXCESS_IDLE_TIMEOUT_MS, type ConnectionPolicy} from './connection-policy.js';
import {createConnectionUse, type ConnectionUse} from './connection-use.js';
import type {AcquireRequest} from './endpoint-pool.js';
import type {IdleLink} from './idle-links.js';
import type {LinkBudget} from './link-budget.js';

/** What the policy needs; the numbers are set by experiments only. */
export type ExpectedUseOptions = {
	readonly metrics: ConnectionMetrics;
	/** Called with a summary of the connections' use, once in each interval in which one was opened or rejected. */
	onSummary?(summary: Readonly<Record<string, unknown>>): void;
	/** Time constant of the decay of request rates, in milliseconds. */
	readonly timeConstantMs?: number;
	/** Factor of the time of an opening up to which a request waits for its workspace's own connection. */
	readonly patience?: number;
	/** Fraction of the share beyond which an idle connection is closed before another one is opened. */
	readonly freelyFraction?: number;
	/** Fraction of the share beyond which connections that have been idle for some seconds are closed. */
	readonly keptFraction?: number;
};

/**
 * Fraction of the share that is opened without closing an idle connection first. With three pool hosts it leaves the successor of one that lost power as many connections as each has,
 * while the endpoint still keeps those of the lost host: with the whole share, 10% of the successor's statements failed in its first 3 s at 120 statements per second, 30% at 160.
 */
const FREELY_FRACTION = 3 / 4;

/** Fraction of the share that stays open while idle; over all pool hosts a third of the endpoint's connections is left free. */
const KEPT_FRACTION = 2 / 3;

/** Idle time after which connections beyond those that stay open are closed, in milliseconds; in a trial with 3000, 0.02 more connections were opened per statement at 60 statements per second. */
const FREE_IDLE_TIMEOUT_MS = 6000;

/**
 * Default of `patience`: an opening also takes a slot from statements. With 1, 0.02 more connections were opened per statement at 120 statements per second; with 8, the p99 of the time to the
 * answer was 22 ms longer.
 */
const PATIENCE = 4;

/** Idle time after which a connection is closed, in milliseconds: the endpoint ends it after 60 s, and must not do so just as a request is sent. */
const IDLE_TIMEOUT_MS = 55_000;

/** A connection is not closed for a workspace that would use it less often than it is used now by this factor. */
const PROTECTED_FACTOR = 10;

/** Fraction of the share that workspaces which may close no other connection use in turn; at least one connection. */
const TURN_FRACTION = 1 / 6;

/** Time for which a connection that has served no request yet is not closed, in milliseconds: the request for which it was opened may be tried again. */
const UNUSED_MS = 1000;

/**
 * Time after a rejected opening during which one is opened only in place of an idle one, in milliseconds. Guards against a
 * workspace that is never served because other hosts have used up the endpoint's limit, while this host has idle connections.
 */
const REJECTION_EFFECT_MS = 1000;

/**
 * Minimum interval between two closed connections while openings are rejected, in milliseconds. Guards against losing connections one after the other while other hosts have
 * reached the endpoint's limit: each closed one could be replaced by one of another host.
 */
const REJECTED_INTERVAL_MS = 250;

/**
 * Closes the connection that is expected to be used last, by the request rates of the workspaces, and opens none where one of the workspace's own is expected to be released sooner.
 *
 * It matters for an endpoint with fewer connections than workspaces, where each opening takes a slot from statements.
 */
export class ExpectedUsePolicy implements ConnectionPolicy {
	readonly events: ConnectionUse;
	readonly #options: ExpectedUseOptions;
	/** Steady time at which a connection was last closed for another workspace. */
	#evictedAt = Number.NEGATIVE_INFINITY;

	constructor(options: ExpectedUseOptions) {
		this.#options = options;
		this.events = createConnectionUse(options);
	}

	get sparesOpenings() {
		return true;
	}

	chooseOpenings<T extends Pick<AcquireRequest, 'workspace'>>(waiters: readonly T[], now: number): readonly T[] {
		const {patience = PATIENCE} = this.#options;
		const releases = new Map<string | undefined, {readonly remainingMs: readonly number[]; ahead: number}>();
		return waiters.filter(({workspace}) => {
			const known = releases.get(workspace) ?? {remainingMs: this.events.getRemainingMs(workspace, now), ahead: 0};
			releases.set(workspace, known);
			const {remainingMs, ahead} = known;
			known.ahead++;
			if (remainingMs.length === 0) {
				return true;
			}

			const rounds = Math.floor(ahead / remainingMs.length);
			const expectedMs = remainingMs[ahead % remainingMs.length]! + (rounds * this.events.getHeldMs(workspace));
			return expectedMs > patience * this.events.openMs;
		});
	}

	chooseEvicted(idle: readonly IdleLink[], workspace: string | undefined, budget: LinkBudget, now: number): IdleLink | undefined {
		if (this.events.isRejecting && now - this.#evictedAt < REJECTED_INTERVAL_MS) {
			return undefined;
		}

		const least = this.#getLeastUsed(idle.filter(({sessionLink}) => sessionLink.workspace !== workspace && !sessionLink.link.closed && !this.events.isUnused(sessionLink, now - UNUSED_MS)), now);
		if (!least) {
			return undefined;
		}

		const limit = PROTECTED_FACTOR * this.events.getUseRate(workspace, 1, now);
		if (least.useRate < limit || this.#needsTurn(workspace, limit, budget, now)) {
			this.events.noteEvicted(EvictionCause.OtherWorkspace);
			this.#evictedAt = now;
			return least.link;
		}

		return undefined;
	}

	chooseExpired(idle: readonly IdleLink[], open: number, budget: LinkBudget, now: number): IdleLink | undefined {
		const oldest = idle[0];
		if (!oldest) {
			return undefined;
		}

		const timeoutMs = open > budget.share ? EXCESS_IDLE_TIMEOUT_MS : FREE_IDLE_TIMEOUT_MS;
		const isBeyondKept = open > getFraction(budget, this.#options.keptFraction ?? KEPT_FRACTION);
		const expired = isBeyondKept
			? this.#getLeastUsed(idle.filter(({since}) => since < now - timeoutMs), now)?.link
			: (oldest.since < now - IDLE_TIMEOUT_MS ? oldest : undefined);
		if (expired) {
			this.events.noteEvicted(isBeyondKept ? EvictionCause.FreeThird : EvictionCause.Idle);
		}

		return expired;
	}

	getOpenedFreely(budget: LinkBudget, now: number): number {
		return now - this.events.rejectedAt < REJECTION_EFFECT_MS ? 0 : getFraction(budget, this.#options.freelyFraction ?? FREELY_FRACTION);
	}

	/** Returns the connection that is used least often, the one that has been idle longest where several are. */
	#getLeastUsed(idle: readonly IdleLink[], now: number) {
		const rates = new Map<string | undefined, number>();
		let least: {readonly link: IdleLink; readonly useRate: number} | undefined;
		for (const link of idle) {
			const {workspace} = link.sessionLink;
			const useRate = rates.get(workspace) ?? this.events.getLastUseRate(workspace, now);
			rates.set(workspace, useRate);
			if (!least || useRate < least.useRate) {
				least = {link, useRate};
			}
		}

		return least;
	}

	/**
	 * Returns whether a connection that is used more often than the limit is closed for a workspace with none, since too few are used more rarely.
	 *
	 * Guards against a rarely used workspace that is never served while all connections are used often.
	 */
	#needsTurn(workspace: string | undefined, limit: number, {share}: LinkBudget, now: number) {
		return !this.events.hasUsable(workspace) && this.events.countUsedLess(limit, now) < Math.max(1, Math.floor(share * TURN_FRACTION));
	}
}

function getFraction({share}: LinkBudget, fraction: number) {
	return Math.min(share, Math.max(1, Math.floor(share * fraction)));
}
