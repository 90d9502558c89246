import {Outcome} from '../callers/caller-response.js';

/** A write with its final outcome, as its caller knows it. */
export type SentWrite = {
	/** Unique value that the write stores in the table. */
	readonly mark: string;
	readonly outcome: Outcome;
	/** Code of the refusal, where there was one. */
	readonly code?: string;
	/** Time at which it was first sent, in milliseconds of the demo's clock. */
	readonly sentAt: number;
	/** Time of its last answer, in milliseconds of the demo's clock. */
	readonly answeredAt: number;
};

/** Returns a sentence for each write that was lost, stored more than once, or whose outcome stayed unknown, given every mark in the table. */
export function findLostOrDuplicated(writes: readonly SentWrite[], stored: readonly string[]): string[] {
	const counts = countMarks(stored);
	return writes.flatMap(({mark, outcome, code}) => {
		const count = counts.get(mark) ?? 0;
		if (count > 1) {
			return [`${mark} is there ${count} times`];
		}

		if (outcome === Outcome.Done && count === 0) {
			return [`${mark} was acknowledged and is not there`];
		}

		return outcome === Outcome.Unknown ? [`${mark} was left unsure (${code ?? 'no answer'}), also when its outcome was asked for`] : [];
	});
}

/** Returns a sentence for each write that is stored although its caller was told that it did not run. */
export function findUntrueRefusals(writes: readonly SentWrite[], stored: readonly string[]): string[] {
	const counts = countMarks(stored);
	return writes
		.filter(({mark, outcome}) => outcome === Outcome.NotRun && counts.has(mark))
		.map(({mark, code}) => `${mark} was refused as not run (${code ?? 'no code'}) and is there`);
}

function countMarks(stored: readonly string[]): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const mark of stored) {
		counts.set(mark, (counts.get(mark) ?? 0) + 1);
	}

	return counts;
}
