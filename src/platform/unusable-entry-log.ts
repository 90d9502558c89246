import type {Log} from '../log/log.js';

/** Logs objects of the store that cannot be decoded, for example because another program wrote them; each is logged once. */
export type UnusableEntryLog = {
	/** Logs that an object of this kind is skipped, unless the same object was logged before. */
	report(kind: string, object: unknown): void;
};

/** How many objects are remembered as logged. When there are more, all are forgotten, and an object may be logged again. */
const MAX_REMEMBERED_ENTRIES = 200;

/** How much of an object a log line shows, in characters. */
const MAX_SHOWN_LENGTH = 200;

/** Creates a log of unusable entries that has reported none so far. */
export function createUnusableEntryLog(log: Log): UnusableEntryLog {
	const reported = new Set<string>();

	return {
		report(kind, object) {
			const text = `${kind} ${JSON.stringify(object)}`;
			if (reported.has(text)) {
				return;
			}

			if (reported.size >= MAX_REMEMBERED_ENTRIES) {
				reported.clear();
			}

			reported.add(text);
			log.warn('an entry cannot be used and is skipped', {kind, entry: text.slice(kind.length + 1, kind.length + 1 + MAX_SHOWN_LENGTH)});
		},
	};
}
