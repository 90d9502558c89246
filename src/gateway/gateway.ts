import {createRetryBudget, type RetryBudget} from '../retries/retry-budget.js';
import {AnswerCode} from '../statements/statement-answer.js';
import type {CallerChannel} from './caller-channel.js';
import {createCallerSession, type CallerSession} from './caller-session.js';
import type {GatewayParts} from './gateway-parts.js';
import type {SessionPhase} from './session-phase.js';
import {closeAdmissionAt, type StopPlan} from './stop-plan.js';

/** Serves callers' sessions. */
export type Gateway = {
	readonly sessions: number;
	/** How many sessions are at what. */
	countPhases(): Partial<Record<SessionPhase, number>>;
	/** Serves a connection until it ends. */
	serve(channel: CallerChannel): Promise<void>;
	/** Takes from now on only what the plan of the host's stop has time for. */
	stop(plan: StopPlan): void;
	/** Ends sessions as they become idle, also those that begin later. */
	leave(): void;
	/** Rolls open transactions back and ends all sessions that have nothing under way; none begins after `now`. */
	closeAdmission(now: number): void;
	/** Gives every statement that has none yet its final answer. */
	giveUp(): void;
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
	let plan: StopPlan | undefined;
	let leaving = false;

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
			// Guards against a caller that comes once others were told, and rests here until nothing more is taken, though another host could serve it.
			if (leaving) {
				session.leave();
			}

			metrics.setSessions(sessions.size);
			try {
				await session.run();
			} catch (err) {
				// One caller's session must not end those of others; what it had open is rolled back with its connections.
				log.error('a session failed', {caller: channel.name, err});
				// Whether a statement that was under way took effect is not known.
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
		leave() {
			leaving = true;
			for (const session of sessions) {
				session.leave();
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
