import type {EndpointStatus} from '../endpoints/endpoint.js';
import {compareLogPositions, holdsLogPosition, type LogPosition} from '../terms/log-position.js';
import type {FailoverSettings} from './failover-settings.js';

/** What one look at a group's servers shows. */
export type StallView = {
	readonly primary: EndpointStatus;
	/** Statuses of the other servers that answer. */
	readonly replicas: readonly EndpointStatus[];
	/** How many endpoints make a majority. */
	readonly majority: number;
};

/**
 * Finds a primary that is cut off from its group although this host reaches it.
 *
 * Writes to such a primary run and are never confirmed, and no poll fails. It shows as entries that no majority ever
 * holds while a majority answers and stands still. A replica that lags far behind looks alike for a while, so the
 * patience follows the slowest catch-up seen in the term.
 */
export type StallDetector = {
	/** Takes a look into account. */
	note(view: StallView, now: number): void;
	/** True while a majority is behind the primary. */
	readonly behind: boolean;
	/** The term of the primary that was looked at last, 0 before the first look. */
	readonly term: number;
	/** When the primary was last seen to be followed, once it is held to be cut off. */
	getCutOffSince(now: number): number | undefined;
	/** How long until the primary will be held to be cut off unless a replica moves, in milliseconds; Infinity where it is not behind. */
	getPatienceLeftMs(now: number): number;
};

type Mark = {
	/** The primary's position that no majority held. */
	readonly log: LogPosition;
	readonly at: number;
	/** When a replica last moved. */
	movedAt: number;
	/** The furthest replica. */
	furthest: LogPosition;
	/** Whether a majority without the primary answers. */
	majorityAnswers: boolean;
};

/** Creates a detector that has seen nothing. */
export function createStallDetector(settings: Pick<FailoverSettings, 'stallMs' | 'stallFactor' | 'stallUnknownMs'>): StallDetector {
	let mark: Mark | undefined;
	let term = 0;
	let slowestMs: number | undefined;

	const startTerm = (next: number) => {
		term = next;
		mark = undefined;
		slowestMs = undefined;
	};

	const getPatienceMs = () => slowestMs === undefined ? settings.stallUnknownMs : Math.max(settings.stallMs, settings.stallFactor * slowestMs);

	const noteProgress = (replicas: readonly EndpointStatus[], now: number) => {
		const furthest = getFurthest(replicas);
		if (mark && compareLogPositions(furthest, mark.furthest) > 0) {
			mark.furthest = furthest;
			mark.movedAt = now;
		}
	};

	return {
		note({primary, replicas, majority}, now) {
			if (primary.term !== term) {
				startTerm(primary.term);
			}

			const isHeld = (log: LogPosition) => 1 + replicas.filter(status => holdsLogPosition(status.log, log)).length >= majority;
			if (mark && isHeld(mark.log)) {
				slowestMs = Math.max(slowestMs ?? 0, now - mark.at);
				mark = undefined;
			}

			if (!mark && !isHeld(primary.log)) {
				mark = {
					log: primary.log, at: now, movedAt: now, furthest: getFurthest(replicas), majorityAnswers: false,
				};
			}

			noteProgress(replicas, now);
			if (mark) {
				mark.majorityAnswers = replicas.length >= majority;
			} else {
				slowestMs ??= 0;
			}
		},
		get behind() {
			return mark !== undefined;
		},
		get term() {
			return term;
		},
		getCutOffSince(now) {
			// Where no majority answers without the primary, another one would be no better off.
			return mark?.majorityAnswers && now - mark.movedAt >= getPatienceMs() ? mark.movedAt : undefined;
		},
		getPatienceLeftMs: now => mark ? Math.max(0, mark.movedAt + getPatienceMs() - now) : Infinity,
	};
}

function getFurthest(replicas: readonly EndpointStatus[]): LogPosition {
	return replicas.map(({log}) => log).toSorted(compareLogPositions).at(-1) ?? {term: 0, position: 0};
}
