import {createRetryBudget, type RetryBudget} from '../retries/retry-budget.js';
import type {CallerChannel} from './caller-channel.js';
import {createCallerSession, type CallerSession, type SessionPhase} from './caller-session.js';
import type {GatewayParts} from './gateway-parts.js';

/** Serves callers' sessions. */
export type Gateway = {
	readonly sessions: number;
	/** How many sessions are at what. */
	countPhases(): Partial<Record<SessionPhase, number>>;
	/** Serves a connection until it ends. */
	serve(channel: CallerChannel): Promise<void>;
	/** Ends sessions as they become idle. */
	leave(): void;
	/** Rolls open transactions back and ends their sessions. */
	abortTransactions(reason: string): void;
};

/** Reads that may go to a second endpoint, as a share of all: a slow group must not be loaded twice. */
const SECOND_TRY_SHARE = 0.1;

/** Second tries that a quiet group always has, a second. */
const SECOND_TRIES_PER_SECOND = 2;

/**
 * The store is asked for a missing route at most so often, in milliseconds: nine hosts then make 45 calls a second at worst, of 2,000 that it
 * takes, and a name refused in between is one that was looked for at most this long ago.
 */
const LOOK_AGAIN_EVERY_MS = 200;

/** Creates the gateway. */
export function createGateway(parts: GatewayParts): Gateway {
	const {clock, log, metrics, mirror} = parts;
	const sessions = new Set<CallerSession>();
	const budgets = new Map<string, RetryBudget>();
	let lookedAt = Number.NEGATIVE_INFINITY;

	const getBudget = (group: string) => {
		const known = budgets.get(group);
		if (known) {
			return known;
		}

		const budget = createRetryBudget({share: SECOND_TRY_SHARE, floorPerSecond: SECOND_TRIES_PER_SECOND}, clock.now());
		budgets.set(group, budget);
		return budget;
	};

	/**
	 * Guards the store against callers that ask for names which no route has, one after the other: each look costs a priced call, and
	 * all hosts together may make some thousands a second.
	 */
	const lookAgain = async () => {
		if (clock.now() < lookedAt + LOOK_AGAIN_EVERY_MS) {
			return;
		}

		lookedAt = clock.now();
		await mirror.confirm();
	};

	return {
		get sessions() {
			return sessions.size;
		},
		countPhases() {
			const counts: Partial<Record<SessionPhase, number>> = {};
			for (const {phase} of sessions) {
				counts[phase] = (counts[phase] ?? 0) + 1;
			}

			return counts;
		},
		async serve(channel) {
			const session = createCallerSession({
				parts, channel, getBudget, lookAgain,
			});
			sessions.add(session);
			metrics.setSessions(sessions.size);
			try {
				await session.run();
			} catch (err) {
				// One caller's session must not end those of others; what it had open is rolled back with its connections.
				log.error('a session failed', {caller: channel.name, err});
				channel.close();
			} finally {
				sessions.delete(session);
				metrics.setSessions(sessions.size);
			}
		},
		leave() {
			for (const session of sessions) {
				session.leave();
			}
		},
		abortTransactions(reason) {
			for (const session of sessions) {
				if (!session.idle) {
					session.abort(reason);
				}
			}
		},
	};
}
