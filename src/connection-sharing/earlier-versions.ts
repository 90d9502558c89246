import type {Log} from '../log/log.js';
import type {Clock} from '../time/clock.js';

/** How a request between this host and one of an earlier version was recognized. */
export const VersionSign = {
	/** The other host does not know the call, so that the request did not run there. */
	Refused: 'refused',
	/** The other host sent a request in the form of an earlier version, and it ran here. */
	Received: 'received',
} as const;

/** One of the signs in {@link VersionSign}. */
export type VersionSign = typeof VersionSign[keyof typeof VersionSign];

/** Metrics of requests between hosts of two versions. */
export type VersionMetrics = {
	/** Counts a request that came from, or could not be sent to, a host of an earlier version. */
	countEarlierVersion(sign: VersionSign): void;
};

/** Notes requests that came from, or could not be sent to, hosts of an earlier version. */
export type EarlierVersions = {
	note(sign: VersionSign, address: string): void;
};

/** Minimum interval between two log lines about one host, in milliseconds. */
const LOG_INTERVAL_MS = 60_000;

const SENTENCES: Readonly<Record<VersionSign, string>> = {
	[VersionSign.Refused]: 'a host of an earlier version cannot run a prepared statement',
	[VersionSign.Received]: 'a host of an earlier version sent a prepared statement',
};

/** Creates the notes: each request is counted, and each host and sign is logged at most once a minute. */
export function createEarlierVersions({clock, log: parentLog, metrics}: {readonly clock: Clock; readonly log: Log; readonly metrics: VersionMetrics}): EarlierVersions {
	const log = parentLog.withPrefix('loans: ');
	/** Steady times of the last log lines, by sign and address. */
	const loggedAt = new Map<string, number>();

	const forgetOld = (now: number) => {
		for (const [key, at] of loggedAt) {
			if (now - at >= LOG_INTERVAL_MS) {
				loggedAt.delete(key);
			}
		}
	};

	return {
		note(sign, address) {
			metrics.countEarlierVersion(sign);
			const now = clock.now();
			const key = `${sign} ${address}`;
			if (now - (loggedAt.get(key) ?? Number.NEGATIVE_INFINITY) < LOG_INTERVAL_MS) {
				return;
			}

			forgetOld(now);
			loggedAt.set(key, now);
			log.info(SENTENCES[sign], {host: address});
		},
	};
}
