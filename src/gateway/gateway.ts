import {createRetryBudget, type RetryBudget} from '../retries/retry-budget.js';
import type {CallerChannel} from './caller-channel.js';
import {createCallerSession, type CallerSession} from './caller-session.js';
import type {GatewayParts} from './gateway-parts.js';

/** Serves callers' sessions. */
export type Gateway = {
	readonly sessions: number;
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

/** Creates the gateway. */
export function createGateway(parts: GatewayParts): Gateway {
	const {clock, log, metrics} = parts;
	const sessions = new Set<CallerSession>();
	const budgets = new Map<string, RetryBudget>();

	const getBudget = (group: string) => {
		const known = budgets.get(group);
		if (known) {
			return known;
		}

		const budget = createRetryBudget({share: SECOND_TRY_SHARE, floorPerSecond: SECOND_TRIES_PER_SECOND}, clock.now());
		budgets.set(group, budget);
		return budget;
	};

	return {
		get sessions() {
			return sessions.size;
		},
		async serve(channel) {
			const session = createCallerSession({parts, channel, getBudget});
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
