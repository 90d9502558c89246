import type {Log} from '../log/log.js';

/** Objects of the store that some other program wrote: they are passed over, and said once. */
export type UnusableEntries = {
	/** Notes an object of a kind that cannot be used. */
	note(kind: string, object: unknown): void;
};

/** Texts of objects that are remembered as said; a writer that changes its entry more often is said again. */
const REMEMBERED = 200;

/** Longest part of an object that a log line shows, in characters. */
const SHOWN_LENGTH = 200;

/** Creates an empty set. */
export function createUnusableEntries(log: Log): UnusableEntries {
	const said = new Set<string>();

	return {
		note(kind, object) {
			const text = `${kind} ${JSON.stringify(object)}`;
			if (said.has(text)) {
				return;
			}

			if (said.size >= REMEMBERED) {
				said.clear();
			}

			said.add(text);
			log.warn('an entry cannot be used and is passed over', {kind, entry: text.slice(kind.length + 1, kind.length + 1 + SHOWN_LENGTH)});
		},
	};
}
