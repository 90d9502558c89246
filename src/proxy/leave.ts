import type {Gateway} from '../gateway/gateway.js';
import {STOP_REASON} from '../gateway/stop-answers.js';
import {createStopPlan} from '../gateway/stop-plan.js';
import type {LeadershipWatch} from '../leadership/leadership-watch.js';
import type {CheckoutServer} from '../connection-sharing/checkout-server.js';
import type {Log} from '../log/log.js';
import type {Clock} from '../time/clock.js';

/** Options of {@link leave}. */
export type LeaveOptions = {
	readonly gateway: Gateway;
	readonly leadershipWatch: Pick<LeadershipWatch, 'retire' | 'replacing'>;
	/** Checkouts of this host's connections by other hosts. */
	readonly checkoutServer: Pick<CheckoutServer, 'checkouts' | 'retire' | 'revokeIdle'>;
	/** The port to which callers connect. */
	readonly callerPort: {close(): unknown};
	readonly clock: Clock;
	readonly log: Log;
	/** Time from the order to stop until the process is killed, in milliseconds. */
	readonly graceMs: number;
};

/** Poll interval of the wait for all sessions to end, in milliseconds. */
const POLL_INTERVAL_MS = 50;

/**
 * Serves all callers until the balancer sends no more, then ends sessions. Resolves when the process may end. The stop plan alone decides what is accepted until
 * when, and by when everything accepted is answered.
 */
export async function leave({gateway, leadershipWatch, checkoutServer, callerPort, clock, log, graceMs}: LeaveOptions): Promise<void> {
	const startedAt = clock.now();
	const plan = createStopPlan(startedAt, graceMs);
	// If a replacement were abandoned half way, or the failover lease were kept, other hosts would have to wait for that lease to expire.
	const isUnderWay = () => gateway.sessions > 0 || checkoutServer.checkouts > 0 || leadershipWatch.replacing;
	const waitForSessions = async (until: number) => {
		while (isUnderWay() && clock.now() < until) {
			await clock.sleep(POLL_INTERVAL_MS);
		}
	};

	leadershipWatch.retire(plan.endBy);
	checkoutServer.retire();
	gateway.stop(plan);
	await clock.sleep(plan.rotatedOutAt - startedAt);
	log.info('callers are notified that their sessions end', {...gateway.countPhases(), lateMs: Math.round(clock.now() - plan.rotatedOutAt)});
	gateway.drain();
	await waitForSessions(plan.admitUntil);
	gateway.closeAdmission(clock.now());
	checkoutServer.revokeIdle(STOP_REASON);
	await waitForSessions(plan.answerBy);
	gateway.giveUp();

	// Guards against a caller that connects while the last log lines are written: it would be accepted, and cut off when the process ends.
	callerPort.close();
	await waitForSessions(plan.endBy);
	log.info('sessions have ended', {
		left: gateway.sessions, ...gateway.countPhases(), loans: checkoutServer.checkouts, tookMs: Math.round(clock.now() - startedAt),
	});
}
