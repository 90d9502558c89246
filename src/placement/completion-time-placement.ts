import type {Random} from '../random/random.js';
import type {ReadCandidate} from './choose-endpoint.js';
import type {ReadPlacement, ReadTimeLeft} from './read-placement.js';

/**
 * Candidates within this factor of the lowest expected time are chosen from at random. Guards against all hosts that know the same loads sending
 * their next reads to the same endpoint, which would be full when their reads arrive.
 */
const NEAR_BEST_FACTOR = 1.2;

/** Difference of expected times that is never significant, in milliseconds: about that of a round trip within a zone. */
const NEAR_BEST_MS = 1;

/** Expected times below this weigh alike, in milliseconds. */
const MIN_WEIGHED_MS = 1;

/** Without a time limit a read waits for any of the candidates. */
const UNLIMITED: ReadTimeLeft = {targetMs: Number.POSITIVE_INFINITY, limitMs: Number.POSITIVE_INFINITY};

/** Returns the expected time until the response of a candidate, in milliseconds. */
export function getCompletionMs({catchUpMs, serviceMs, estimate}: ReadCandidate): number {
	if (!estimate) {
		return catchUpMs + serviceMs;
	}

	// A replica that catches up while the read waits there has used the same time for both, but the read is sent only afterwards.
	return estimate.roundTripMs + estimate.waitMs + estimate.serviceMs + estimate.openMs + catchUpMs;
}

/**
 * Chooses by the expected time to the response. The primary is reserved for what only it can serve: a read goes there where it is idle, or where no
 * replica responds within the read's target.
 */
export class CompletionTimePlacement implements ReadPlacement {
	constructor(private readonly random: Random) {}

	choose(candidates: readonly ReadCandidate[], {targetMs, limitMs}: ReadTimeLeft = UNLIMITED): ReadCandidate | undefined {
		const trial = candidates.find(({estimate}) => estimate?.isTrial);
		if (trial) {
			return trial;
		}

		const timed = candidates.map(candidate => ({candidate, ms: getCompletionMs(candidate)})).filter(({ms}) => ms < Number.POSITIVE_INFINITY);
		const inTarget = timed.filter(({ms}) => ms <= targetMs);
		const preferred = inTarget.filter(({candidate}) => !candidate.isPrimary || candidate.estimate?.isIdle);
		const admitted = preferred.filter(({candidate}) => this.isAdmitted(candidate));
		const hasReplica = (list: readonly TimedCandidate[]) => list.some(({candidate}) => !candidate.isPrimary);
		const choices = [
			// A replica whose share does not admit the read is still better than the primary, unless that is idle.
			hasReplica(preferred) && admitted.length === 0 ? preferred : admitted,
			inTarget,
			timed.filter(({ms}) => ms <= limitMs),
			// A wait that no recent report supports must not refuse a read: the figure would never be corrected.
			timed.filter(({candidate: {catchUpMs, estimate}}) => !estimate?.isKnown && catchUpMs <= limitMs),
		];
		return this.chooseNearBest(choices.find(choice => choice.length > 0) ?? []);
	}

	private isAdmitted({estimate}: ReadCandidate): boolean {
		const share = estimate?.share ?? 1;
		return share >= 1 || this.random.fraction() < share;
	}

	private chooseNearBest(timed: readonly TimedCandidate[]): ReadCandidate | undefined {
		const bestMs = Math.min(...timed.map(({ms}) => ms));
		const near = timed.filter(({ms}) => ms <= Math.max(bestMs * NEAR_BEST_FACTOR, bestMs + NEAR_BEST_MS));
		if (near.length < 2) {
			return near[0]?.candidate;
		}

		const weights = near.map(({ms}) => 1 / Math.max(ms, MIN_WEIGHED_MS));
		let draw = this.random.fraction() * weights.reduce((sum, weight) => sum + weight, 0);
		for (const [i, weight] of weights.entries()) {
			draw -= weight;
			if (draw < 0) {
				return near[i]!.candidate;
			}
		}

		return near.at(-1)!.candidate;
	}
}

type TimedCandidate = {readonly candidate: ReadCandidate; readonly ms: number};
