import type {EndpointStatus} from '../endpoints/endpoint.js';
import {compareLogPositions, holdsLogPosition, type LogPosition} from '../terms/log-position.js';
import type {FailoverSettings} from './failover-settings.js';

/** Statuses of a group's servers from one poll. */
export type GroupSnapshot = {
	readonly primary: EndpointStatus;
	/** Statuses of the other servers that answer. */
	readonly replicas: readonly EndpointStatus[];
	/** Number of endpoints in a majority. */
	readonly majority: number;
};

/**
 * Detects a primary that is cut off from its group although this host reaches it.
 *
 * Writes to such a primary run and are never confirmed, and no poll fails. It is detected by entries that no majority
 * ever holds while a majority answers and does not advance. A replica that lags far behind looks the same for a while, so
 * the timeout grows with the slowest catch-up seen in the term.
 */
export type StallDetector = {
	/** Records the statuses from one poll. */
	record(snapshot: GroupSnapshot, now: number): void;
	/** Whether an entry of the primary is not yet held by a majority. */
	readonly behind: boolean;
	/** The primary's term in the last poll, 0 before the first one. */
	readonly term: number;
	/** Returns since when no replica has followed the primary once it counts as cut off, otherwise undefined. */
	getCutOffSince(now: number): number | undefined;
	/** Returns the time until the primary counts as cut off unless a replica advances, in milliseconds; Infinity while a majority holds all. */
	getMsUntilCutOff(now: number): number;
};

/** A position of the primary that no majority held when it was recorded. */
type UnconfirmedPosition = {
	readonly log: LogPosition;
	readonly at: number;
	/** When a replica last advanced. */
	advancedAt: number;
	/** The highest position of a replica. */
	highestLog: LogPosition;
	/** Whether a majority answers without the primary. */
	majorityAnswers: boolean;
};

/** Creates a detector without any recorded statuses. */
export function createStallDetector(settings: Pick<FailoverSettings, 'stallMs' | 'stallFactor' | 'stallUnknownMs'>): StallDetector {
	let unconfirmed: UnconfirmedPosition | undefined;
	let term = 0;
	let slowestMs: number | undefined;

	const startTerm = (next: number) => {
		term = next;
		unconfirmed = undefined;
		slowestMs = undefined;
	};

	const getTimeoutMs = () => slowestMs === undefined ? settings.stallUnknownMs : Math.max(settings.stallMs, settings.stallFactor * slowestMs);

	const recordProgress = (replicas: readonly EndpointStatus[], now: number) => {
		const highestLog = getHighestLog(replicas);
		if (unconfirmed && compareLogPositions(highestLog, unconfirmed.highestLog) > 0) {
			unconfirmed.highestLog = highestLog;
			unconfirmed.advancedAt = now;
		}
	};

	return {
		record({primary, replicas, majority}, now) {
			if (primary.term !== term) {
				startTerm(primary.term);
			}

			const isHeld = (log: LogPosition) => 1 + replicas.filter(status => holdsLogPosition(status.log, log)).length >= majority;
			if (unconfirmed && isHeld(unconfirmed.log)) {
				slowestMs = Math.max(slowestMs ?? 0, now - unconfirmed.at);
				unconfirmed = undefined;
			}

			if (!unconfirmed && !isHeld(primary.log)) {
				unconfirmed = {
					log: primary.log, at: now, advancedAt: now, highestLog: getHighestLog(replicas), majorityAnswers: false,
				};
			}

			recordProgress(replicas, now);
			if (unconfirmed) {
				unconfirmed.majorityAnswers = replicas.length >= majority;
			} else {
				slowestMs ??= 0;
			}
		},
		get behind() {
			return unconfirmed !== undefined;
		},
		get term() {
			return term;
		},
		getCutOffSince(now) {
			// Where no majority answers without the primary, another primary could not have its writes confirmed either.
			return unconfirmed?.majorityAnswers && now - unconfirmed.advancedAt >= getTimeoutMs() ? unconfirmed.advancedAt : undefined;
		},
		getMsUntilCutOff: now => unconfirmed ? Math.max(0, unconfirmed.advancedAt + getTimeoutMs() - now) : Infinity,
	};
}

function getHighestLog(replicas: readonly EndpointStatus[]): LogPosition {
	return replicas.map(({log}) => log).toSorted(compareLogPositions).at(-1) ?? {term: 0, position: 0};
}
