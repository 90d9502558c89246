import type {AcknowledgedCommit} from '../leadership/acknowledged-commits.js';
import type {PrimaryLease} from '../leadership/primary-leases.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import type {GatewayParts} from './gateway-parts.js';

/**
 * Maximum wait for a renewed primary lease after a commit was answered, in milliseconds. It covers a store outage that lasts this much longer
 * than a lease, and callers' own deadlines are of this order.
 */
const LEASE_WAIT_MS = 1500;

/**
 * Whether a commit that an endpoint has acknowledged may be acknowledged to its caller.
 *
 * Guards against acknowledging a commit of a superseded primary, which goes on committing until it is notified: no other
 * endpoint would ever have the data. A lease that is still held when the answer arrives proves that no replacement had
 * taken effect when the endpoint committed. On a host that was suspended meanwhile, or cut off from the store, the lease
 * has expired, so the host requests a new confirmation: the same epoch proves that there was no replacement, a later one leaves
 * the outcome unknown.
 */
export async function mayAcknowledge(parts: GatewayParts, lease: PrimaryLease, id: string, commit: AcknowledgedCommit): Promise<boolean> {
	const {primaryLeases, elapsedClock, clock, mirror, log, metrics, acknowledgedCommits} = parts;
	if (primaryLeases.holds(lease, elapsedClock.elapsed())) {
		acknowledgedCommits.note(lease.group, commit);
		return true;
	}

	const until = clock.now() + LEASE_WAIT_MS;
	mirror.confirmSoon();
	while (clock.now() < until && !primaryLeases.isSuperseded(lease)) {
		const alarm = createSleepAlarm();
		await Promise.race([primaryLeases.changed(alarm), clock.sleep(until - clock.now(), alarm)]);
		alarm.abort();
		if (primaryLeases.holds(lease, elapsedClock.elapsed())) {
			acknowledgedCommits.note(lease.group, commit);
			log.info('a commit is acknowledged under a renewed lease', {id, group: lease.group, epoch: lease.epoch});
			metrics.countCommitRecheck('kept');
			return true;
		}
	}

	log.warn('the outcome of a commit is unknown: its primary may have been replaced', {
		id, group: lease.group, epoch: lease.epoch, primary: lease.primaryId, superseded: primaryLeases.isSuperseded(lease), confirmedAgoMs: getConfirmationAgeMs(parts),
	});
	metrics.countCommitRecheck('unknown');
	return false;
}

/** Returns the age of the mirror's last confirmation, in milliseconds; undefined where there was none. */
function getConfirmationAgeMs({mirror, elapsedClock}: GatewayParts) {
	return mirror.partsConfirmedAt === undefined ? undefined : Math.round(elapsedClock.elapsed() - mirror.partsConfirmedAt);
}
