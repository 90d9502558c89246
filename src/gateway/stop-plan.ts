import type {Route} from '../routes/routing.js';
import {Access} from '../statements/statement.js';

/** The schedule of a host that was ordered to stop. Steady times, in milliseconds. */
export type StopPlan = {
	/** From then on the balancer sends callers to other hosts, unless most hosts of a zone are stopping; until then all callers are served. */
	readonly rotatedOutAt: number;
	/** From then on nothing new is accepted, and open transactions are rolled back. */
	readonly admitUntil: number;
	/** Every accepted statement has its final answer by then. */
	readonly answerBy: number;
	/** The process ends by then. */
	readonly endBy: number;
};

/**
 * Time for which a stopping host still serves all callers, in milliseconds. The balancer checks readiness once a second and removes a host
 * after two refusals, so new callers arrive until then.
 */
const OUT_OF_ROTATION_MS = 2300;

/** Minimum share of the grace period that open transactions get; the platform guarantees it. */
const TRANSACTION_SHARE = 0.5;

/** Share of the grace period for which the host waits for answers of endpoints; a statement that still runs in the last sixth may be abandoned. */
const ANSWER_SHARE = 5 / 6;

/** Time for the answers to the statements accepted last, in milliseconds: as long as a rollback may take. */
const LAST_ANSWERS_MS = 1000;

/** Part of the grace period left when the process ends, in milliseconds. Writing the last log lines takes up to 300; the rest covers a late timer, so that the process is not killed. */
const END_MARGIN_MS = 600;

/** Creates the plan of a host that was ordered to stop at `now` and is killed after `graceMs` milliseconds. */
export function createStopPlan(now: number, graceMs: number): StopPlan {
	const answerBy = now + (graceMs * ANSWER_SHARE);
	const admitUntil = Math.max(now + (graceMs * TRANSACTION_SHARE), answerBy - LAST_ANSWERS_MS);
	return {
		rotatedOutAt: Math.min(now + OUT_OF_ROTATION_MS, admitUntil),
		admitUntil,
		answerBy,
		endBy: Math.max(answerBy, now + graceMs - END_MARGIN_MS),
	};
}

/** Whether new sessions are refused. */
export function isPastAdmission(plan: StopPlan | undefined, now: number): boolean {
	return plan !== undefined && now >= plan.admitUntil;
}

/** Returns the plan of a host that ended all sessions at `now`, ahead of its plan: new sessions are refused from then on. */
export function closeAdmissionAt(plan: StopPlan, now: number): StopPlan {
	return {...plan, rotatedOutAt: Math.min(plan.rotatedOutAt, now), admitUntil: Math.min(plan.admitUntil, now)};
}

/** Whether a transaction may begin. Its usual duration must fit, no more, since a transaction that is rolled back has no effect. */
export function mayBegin(plan: StopPlan | undefined, route: Route, now: number): boolean {
	return !plan || now + route.targetLatencyMs <= plan.admitUntil;
}

/**
 * Whether a statement outside a transaction is accepted. Guards against one that is accepted and then ends with the process. For a read its usual duration
 * must fit, since an abandoned read has no effect; for a write its statement timeout must fit, since the outcome of an abandoned write is unknown.
 */
export function mayAccept(plan: StopPlan | undefined, route: Route, access: Access, now: number): boolean {
	if (!plan || now < plan.rotatedOutAt) {
		return true;
	}

	const neededMs = access === Access.Read ? route.targetLatencyMs : route.statementTimeoutMs;
	return now < plan.admitUntil && now + neededMs <= plan.answerBy;
}
