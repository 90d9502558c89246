import {createRetryBudget, type RetryBudget} from '../retries/retry-budget.js';
import {AnswerCode} from '../statements/statement-answer.js';
import type {CallerChannel} from './caller-channel.js';
import {createCallerSession, type CallerSession} from './caller-session.js';
import type {GatewayParts} from './gateway-parts.js';
import type {SessionPhase} from './session-phase.js';
import {closeAdmissionAt, type StopPlan} from './stop-plan.js';

/** The callers' sessions of a host. */
export type Gateway = {
	/** Number of open sessions. */
	readonly sessions: number;
	/** Returns how many sessions are in each phase. */
	countPhases(): Partial<Record<SessionPhase, number>>;
	/** Serves a caller's connection until it ends. */
	serve(channel: CallerChannel): Promise<void>;
	/** From now on accepts only what has time to complete under the plan of the host's stop. */
	stop(plan: StopPlan): void;
	/** Ends sessions as they become idle, including those that begin later. */
	drain(): void;
	/** Rolls back open transactions and ends every session once nothing is under way in it; none begins after `now`. */
	closeAdmission(now: number): void;
	/** Sends a final answer to every statement that has none yet. */
	giveUp(): void;
};

/** Share of all reads that may be sent to a second endpoint: the load on a slow group must not double. */
const SECOND_TRY_SHARE = 0.1;

/** Second tries per second that a group with few reads may always make. */
const SECOND_TRIES_PER_SECOND = 2;

/** Creates the gateway. */
export function createGateway(parts: GatewayParts): Gateway {
	const {clock, log, metrics} = parts;
	const sessions = new Set<CallerSession>();
	const budgets = new Map<string, RetryBudget>();
	let plan: StopPlan | undefined;
	let draining = false;

	const getBudget = (group: string) => {
		const known = budgets.get(group);
		if (known) {
			return known;
		}

		const budget = createRetryBudget({
			share: SECOND_TRY_SHARE, floorPerSecond: SECOND_TRIES_PER_SECOND, shrinksWithRefusals: parts.estimates !== undefined,
		}, clock.now());
		budgets.set(group, budget);
		return budget;
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
				parts, channel, getBudget, getStopPlan: () => plan,
			});
			sessions.add(session);
			// Guards against a caller that connects after the others were notified: it would stay until this host accepts nothing more, though another could serve it.
			if (draining) {
				session.drain();
			}

			metrics.setSessions(sessions.size);
			try {
				await session.run();
			} catch (err) {
				// A failed session must not end those of other callers; its open transaction is rolled back with its connection.
				log.error('a session failed', {caller: channel.name, err});
				// It is not known whether a statement that was under way took effect.
				channel.refuse(AnswerCode.OutcomeUnknown, 'the session failed');
				channel.close();
			} finally {
				sessions.delete(session);
				metrics.setSessions(sessions.size);
			}
		},
		stop(stopPlan) {
			plan = stopPlan;
		},
		drain() {
			draining = true;
			for (const session of sessions) {
				session.drain();
			}
		},
		closeAdmission(now) {
			plan &&= closeAdmissionAt(plan, now);
			for (const session of sessions) {
				session.end();
			}
		},
		giveUp() {
			for (const session of sessions) {
				session.giveUp();
			}
		},
	};
}
