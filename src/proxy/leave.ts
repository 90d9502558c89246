import type {Gateway} from '../gateway/gateway.js';
import {STOP_REASON} from '../gateway/stop-answers.js';
import {createStopPlan} from '../gateway/stop-plan.js';
import type {LeadWatch} from '../leadership/lead-watch.js';
import type {LinkLender} from '../lending/link-lender.js';
import type {Log} from '../log/log.js';
import type {Clock} from '../time/clock.js';

/** What leaving needs. */
export type LeaveOptions = {
	readonly gateway: Gateway;
	readonly leadWatch: Pick<LeadWatch, 'retire' | 'replacing'>;
	/** Other hosts' requests that use this host's connections. */
	readonly lender: Pick<LinkLender, 'loans' | 'retire' | 'endResting'>;
	/** Where callers connect. */
	readonly callerPort: {close(): unknown};
	readonly clock: Clock;
	readonly log: Log;
	/** Time from the order to stop to the end by force, in milliseconds. */
	readonly graceMs: number;
};

/** How often it is looked whether all sessions have ended, in milliseconds. */
const RECHECK_MS = 50;

/**
 * Serves on until the balancer sends nobody any more, then lets sessions end; resolves when the process may end. What is taken when, and by when all of it is
 * answered, says the plan alone.
 */
export async function leave({gateway, leadWatch, lender, callerPort, clock, log, graceMs}: LeaveOptions): Promise<void> {
	const startedAt = clock.now();
	const plan = createStopPlan(startedAt, graceMs);
	// A group whose replacement is left half way has no primary until another host has waited for the end of the duty.
	const isUnderWay = () => gateway.sessions > 0 || lender.loans > 0 || leadWatch.replacing;
	const waitForSessions = async (until: number) => {
		while (isUnderWay() && clock.now() < until) {
			await clock.sleep(RECHECK_MS);
		}
	};

	leadWatch.retire();
	lender.retire();
	gateway.stop(plan);
	await clock.sleep(plan.rotatedOutAt - startedAt);
	log.info('callers are told that their sessions end', {...gateway.countPhases(), lateMs: Math.round(clock.now() - plan.rotatedOutAt)});
	gateway.leave();
	await waitForSessions(plan.admitUntil);
	gateway.closeAdmission(clock.now());
	lender.endResting(STOP_REASON);
	await waitForSessions(plan.answerBy);
	gateway.giveUp();

	// Guards against a caller that comes while the last lines are written: it would be taken, and cut off with the process.
	callerPort.close();
	await waitForSessions(plan.endBy);
	log.info('sessions have ended', {
		left: gateway.sessions, ...gateway.countPhases(), loans: lender.loans, tookMs: Math.round(clock.now() - startedAt),
	});
}
