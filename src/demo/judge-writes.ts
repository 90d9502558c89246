import {Outcome} from '../callers/caller-response.js';

/** A write as its caller knows it at the end. */
export type SentWrite = {
	/** What the write put into the table; no other write puts the same. */
	readonly mark: string;
	readonly outcome: Outcome;
	/** The refusal's code, where there was one. */
	readonly code?: string;
	/** When it was sent first and when its last answer came, milliseconds of the demo's clock. */
	readonly sentAt: number;
	readonly answeredAt: number;
};

/** Says which writes were lost, doubled or ran unacknowledged for good, given every mark found in the table. */
export function findLostOrDoubled(writes: readonly SentWrite[], stored: readonly string[]): string[] {
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

/** Says which writes ran although their callers were told that they did not. */
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
