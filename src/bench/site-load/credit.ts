import type {RequestOutcome} from './site-callers.js';

/** Returns the credit that requests earned by their response times, as a share (0 to 1) of the maximum; 1 if there are no requests. */
export function getCredit(outcomes: readonly RequestOutcome[]): number {
	let earned = 0;
	let total = 0;
	for (const {shape, tookMs} of outcomes) {
		total += shape.value;
		if (tookMs !== undefined && tookMs <= shape.deadlineMs) {
			earned += tookMs <= shape.targetLatencyMs ? shape.value : shape.lateValue;
		}
	}

	return total === 0 ? 1 : earned / total;
}
