import {allocateShares} from './allocate-shares.js';
import type {RoomReport} from './room-calls.js';
import {REPORT_INTERVAL_MS} from './report-interval.js';

/** The recent reports of pool hosts about one endpoint, as the allocator of its budget holds them. */
export type RoomReports = {
	/** Notes the report of the host at `ip:port`. */
	note(host: string, report: Pick<RoomReport, 'inFlight' | 'queued' | 'everyMs'>, now: number): void;
	/** Returns the share of a host that has just reported, out of a budget of `total`; `poolHosts` are the addresses of the pool hosts for which a place is kept. */
	getShare(host: string, poolHosts: readonly string[], total: number, now: number): number;
};

/** Number of report intervals after which a report no longer counts: a host without one is idle, or has failed, and what it had in flight has mostly ended. */
const MAX_AGE_INTERVALS = 3;

/** Weight of the earlier demand in a decrease: instantaneous counts vary by chance, and a host whose share follows each low one waits for the next report. */
const DECAY = 0.5;

type Reported = {
	readonly demand: number;
	readonly until: number;
};

/** Creates an empty set of reports. */
export function createRoomReports(): RoomReports {
	const reports = new Map<string, Reported>();

	const dropOld = (now: number) => {
		for (const [host, {until}] of reports) {
			if (now >= until) {
				reports.delete(host);
			}
		}
	};

	return {
		note(host, {inFlight, queued, everyMs = REPORT_INTERVAL_MS}, now) {
			dropOld(now);
			const current = inFlight + queued;
			const earlier = reports.get(host)?.demand ?? 0;
			reports.set(host, {demand: Math.max(current, (earlier * DECAY) + (current * (1 - DECAY))), until: now + (everyMs * MAX_AGE_INTERVALS)});
		},
		getShare(host, poolHosts, total, now) {
			dropOld(now);
			// A pool host that does not report has at most one statement in flight.
			let silent = 0;
			for (const poolHost of poolHosts) {
				silent += reports.has(poolHost) ? 0 : 1;
			}

			const hosts = [...reports.keys()];
			const shares = allocateShares(total - silent, [...reports.values()].map(({demand}) => demand));
			return shares[hosts.indexOf(host)] ?? 1;
		},
	};
}
