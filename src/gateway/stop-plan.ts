import type {Route} from '../routes/routing.js';
import {Access} from '../statements/statement.js';

/** What a host that was told to stop does until when. Steady times, in milliseconds. */
export type StopPlan = {
	/** The balancer sends callers elsewhere from then on, unless most hosts of a zone are stopping; until then all are served. */
	readonly rotatedOutAt: number;
	/** From then on nothing new is taken, and open transactions are rolled back. */
	readonly admitUntil: number;
	/** Whatever was taken has its final answer by then. */
	readonly answerBy: number;
	/** The process ends then at the latest. */
	readonly endBy: number;
};

/**
 * The balancer asks once a second and takes a host out after two refusals: until then new callers still come, so all
 * are served for so long, in milliseconds.
 */
const OUT_OF_ROTATION_MS = 2300;

/** Share of the grace that open transactions get at least: the platform promises them so much. */
const TRANSACTION_SHARE = 0.5;

/** Share of the grace for which answers of endpoints are waited for: one that is still at work in the last sixth may be given up. */
const ANSWER_SHARE = 5 / 6;

/** Time for the answers to what was taken last, in milliseconds: as long as a rollback may take. */
const LAST_ANSWERS_MS = 1000;

/** Left of the grace when the process ends, in milliseconds: it writes its last lines for up to 300, and a late timer must not meet the end by force. */
const END_MARGIN_MS = 600;

/** Makes the plan of a host that was told at `now` that it is ended by force after `graceMs`. */
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

/** Whether no session begins any more. */
export function isPastAdmission(plan: StopPlan | undefined, now: number): boolean {
	return plan !== undefined && now >= plan.admitUntil;
}

/** The plan of a host that has ended all sessions at `now`, ahead of its time: none begins any more. */
export function closeAdmissionAt(plan: StopPlan, now: number): StopPlan {
	return {...plan, rotatedOutAt: Math.min(plan.rotatedOutAt, now), admitUntil: Math.min(plan.admitUntil, now)};
}

/** Whether a transaction may begin: it has to fit in as usual, since one that is rolled back leaves nothing behind. */
export function mayBegin(plan: StopPlan | undefined, route: Route, now: number): boolean {
	return !plan || now + route.targetLatencyMs <= plan.admitUntil;
}

/**
 * Whether a statement outside a transaction is taken. Guards against one that is taken and cut off with the process: a read has to fit in as usual, since given up
 * it leaves nothing behind; a write has to fit in at its longest, since given up its outcome is unknown.
 */
export function mayTake(plan: StopPlan | undefined, route: Route, access: Access, now: number): boolean {
	if (!plan || now < plan.rotatedOutAt) {
		return true;
	}

	const neededMs = access === Access.Read ? route.targetLatencyMs : route.statementTimeoutMs;
	return now < plan.admitUntil && now + neededMs <= plan.answerBy;
}
