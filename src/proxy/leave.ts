import type {Gateway} from '../gateway/gateway.js';
import type {LeadWatch} from '../leadership/lead-watch.js';
import type {LinkLender} from '../lending/link-lender.js';
import type {Log} from '../log/log.js';
import type {Clock} from '../time/clock.js';

/** What leaving needs. */
export type LeaveOptions = {
	readonly gateway: Gateway;
	readonly leadWatch: Pick<LeadWatch, 'retire' | 'replacing'>;
	/** Other hosts' requests that use this host's connections. */
	readonly lender: Pick<LinkLender, 'loans' | 'retire'>;
	readonly clock: Clock;
	readonly log: Log;
	/** Time from the order to stop to the end by force, in milliseconds. */
	readonly graceMs: number;
};

/**
 * The balancer asks once a second and takes a host out after two refusals: until then new callers still come, so all
 * are served for so long, in milliseconds.
 */
const OUT_OF_ROTATION_MS = 2300;

/** Share of the grace that open transactions get to end. */
const TRANSACTION_SHARE = 0.5;

/** Share of the grace after which the process ends whatever is still under way, so that it is never ended by force. */
const END_SHARE = 0.83;

/** How often it is looked whether all sessions have ended, in milliseconds. */
const RECHECK_MS = 50;

/** Serves on until the balancer sends nobody any more, then lets sessions end; resolves when the process may end. */
export async function leave({gateway, leadWatch, lender, clock, log, graceMs}: LeaveOptions): Promise<void> {
	const startedAt = clock.now();
	const until = async (ms: number) => {
		while ((gateway.sessions > 0 || lender.loans > 0) && clock.now() < startedAt + ms) {
			await clock.sleep(RECHECK_MS);
		}
	};

	leadWatch.retire();
	lender.retire();
	await clock.sleep(Math.min(OUT_OF_ROTATION_MS, graceMs * TRANSACTION_SHARE));
	// A host that is late has requests in its sockets that it has not read.
	log.info('idle sessions are ended', {...gateway.countPhases(), lateMs: Math.round(clock.now() - startedAt - Math.min(OUT_OF_ROTATION_MS, graceMs * TRANSACTION_SHARE))});
	gateway.leave();
	await until(graceMs * TRANSACTION_SHARE);
	gateway.abortTransactions('the host is stopping');
	await until(graceMs * END_SHARE);
	// A group whose replacement is left half way has no primary until another host has waited for the end of the duty.
	while (leadWatch.replacing && clock.now() < startedAt + (graceMs * END_SHARE)) {
		await clock.sleep(RECHECK_MS);
	}

	log.info('sessions have ended', {
		left: gateway.sessions, ...gateway.countPhases(), loans: lender.loans, tookMs: Math.round(clock.now() - startedAt),
	});
}
