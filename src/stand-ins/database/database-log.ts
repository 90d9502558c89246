import {LOG_START, type LogPosition} from '../../terms/log-position.js';
import type {LogEffect} from './database-state.js';

/** One entry of a server's log; servers share the object, none changes it. */
export type LogEntry = {
	readonly term: number;
	/** From 1. */
	readonly position: number;
	readonly effect: LogEffect;
	/** When its primary wrote it, on the clock's `now`. */
	readonly writtenAt: number;
};

/** A server's log. */
export type DatabaseLog = {
	/** Where the log ends. */
	readonly end: LogPosition;
	/** The entry at a position from 1. */
	get(position: number): LogEntry | undefined;
	/** Adds the next entry. */
	push(entry: LogEntry): void;
	/** Removes the last entry and returns it. */
	pop(): LogEntry | undefined;
	/** The last position up to which both logs are the same. */
	getCommonPosition(other: DatabaseLog): number;
};

/** Creates an empty log. */
export function createDatabaseLog(): DatabaseLog {
	const entries: LogEntry[] = [];
	const get = (position: number) => entries[position - 1];

	return {
		get end() {
			return entries.at(-1) ?? LOG_START;
		},
		get,
		push(entry) {
			entries.push(entry);
		},
		pop: () => entries.pop(),
		getCommonPosition(other) {
			// Entries of one term come from one primary, so logs that agree on the term at a position agree up to it.
			let position = Math.min(entries.length, other.end.position);
			while (position > 0 && get(position)!.term !== other.get(position)!.term) {
				position--;
			}

			return position;
		},
	};
}
