import type {ReadCandidate} from '../placement/choose-endpoint.js';
import {getCompletionMs} from '../placement/completion-time-placement.js';
import type {TracedRefusal} from './statement-trace.js';

/** Bounds of the retry-after of a read that no endpoint can serve in time, in milliseconds: the loads that it depends on are known for one second. */
const MIN_HOPELESS_RETRY_MS = 50;
const MAX_HOPELESS_RETRY_MS = 1000;

/** Returns the refusal of a read that no candidate can serve by the steady time `until`. */
export function createHopelessRefusal(candidates: readonly ReadCandidate[], until: number, now: number): TracedRefusal {
	const predictedWaitMs = Math.min(...candidates.map(candidate => getCompletionMs(candidate)));
	const excessMs = Number.isFinite(predictedWaitMs) ? predictedWaitMs - (until - now) : MAX_HOPELESS_RETRY_MS;
	return {
		reason: 'no endpoint can serve the read in time',
		predictedWaitMs: Number.isFinite(predictedWaitMs) ? predictedWaitMs : MAX_HOPELESS_RETRY_MS,
		retryAfterMs: Math.min(MAX_HOPELESS_RETRY_MS, Math.max(MIN_HOPELESS_RETRY_MS, excessMs)),
	};
}
