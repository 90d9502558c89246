import type {Log} from '../log/log.js';
import {describeEntry} from './describe-entry.js';

/** Logs and counts entries of the store that cannot be decoded, for example because another program wrote them: each once, and once more after it has changed. */
export type UnusableEntryLog = {
	/** Begins a reading of a list. */
	beginReading(list: string): UnusableEntryReading;
};

/** The unusable entries of one reading of a list. */
export type UnusableEntryReading = {
	/** Reports that an entry of this kind is skipped. */
	report(kind: string, entry: unknown): void;
	/** Ends a reading that saw the whole list: what it did not report has gone, or can be used. */
	end(): void;
};

/** Creates a log of unusable entries that has reported none so far; `onUnusable` is called for each line, for the metrics. */
export function createUnusableEntryLog(log: Log, onUnusable?: (kind: string) => void): UnusableEntryLog {
	/** Descriptions of the entries that were reported at the last reading, by list. */
	const reported = new Map<string, ReadonlySet<string>>();

	return {
		beginReading(list) {
			const known = reported.get(list) ?? new Set<string>();
			const seen = new Set<string>();

			return {
				report(kind, entry) {
					const description = describeEntry(entry);
					const key = `${kind} ${description}`;
					if (!known.has(key) && !seen.has(key)) {
						log.warn('an entry cannot be used and is skipped', {kind, entry: description});
						onUnusable?.(kind);
					}

					seen.add(key);
				},
				end() {
					reported.set(list, seen);
				},
			};
		},
	};
}
