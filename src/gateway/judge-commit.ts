import type {LeadEvidence} from '../leadership/lead-evidence.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import type {GatewayParts} from './gateway-parts.js';

/**
 * Longest wait for newer evidence about a commit that has its answer, in milliseconds: an outage of the store that outlasts evidence by
 * this much is still bridged, and the caller's own deadlines are of this order.
 */
const WAIT_MS = 1500;

/**
 * Whether a commit that an endpoint has acknowledged may be acknowledged to its caller.
 *
 * Guards against a commit at a superseded primary, which goes on committing until it is told: its caller would be
 * promised data that no other endpoint will ever have. Evidence that holds when the answer is here shows that no
 * replacement had taken effect when the endpoint committed. A host that was suspended meanwhile, or cut off from the
 * store, finds its evidence lapsed, and asks anew: the same epoch shows that there was none, a later one leaves the
 * outcome unknown.
 */
export async function mayAcknowledge(parts: GatewayParts, evidence: LeadEvidence, id: string): Promise<boolean> {
	const {evidences, elapsedClock, clock, mirror, log, metrics} = parts;
	if (evidences.holds(evidence, elapsedClock.elapsed())) {
		return true;
	}

	const until = clock.now() + WAIT_MS;
	mirror.confirmSoon();
	while (clock.now() < until && !evidences.isSuperseded(evidence)) {
		const alarm = createSleepAlarm();
		await Promise.race([evidences.changed(alarm), clock.sleep(until - clock.now(), alarm)]);
		alarm.abort();
		if (evidences.holds(evidence, elapsedClock.elapsed())) {
			log.info('a commit is acknowledged by newer evidence', {id, group: evidence.group, epoch: evidence.epoch});
			metrics.countSecondJudgement('kept');
			return true;
		}
	}

	log.warn('the outcome of a commit is unknown: its primary may have been replaced', {
		id, group: evidence.group, epoch: evidence.epoch, primary: evidence.primaryId, superseded: evidences.isSuperseded(evidence), confirmedAgoMs: getAge(parts),
	});
	metrics.countSecondJudgement('unknown');
	return false;
}

/** Age of the last confirmation, in milliseconds. */
function getAge({mirror, elapsedClock}: GatewayParts) {
	return mirror.confirmedAt === undefined ? undefined : Math.round(elapsedClock.elapsed() - mirror.confirmedAt);
}
