import {LOG_START, type LogPosition} from '../../terms/log-position.js';
import type {LogEffect} from './database-state.js';

/** One entry of a server's log. The object is immutable and shared by all servers that hold the entry. */
export type LogEntry = {
	readonly term: number;
	/** Position in the log, from 1. */
	readonly position: number;
	readonly effect: LogEffect;
	/** Time at which its primary wrote it, as returned by the clock's `now`. */
	readonly writtenAt: number;
};

/** A server's log. */
export type DatabaseLog = {
	/** Position of the last entry. */
	readonly end: LogPosition;
	/** Returns the entry at a position, counted from 1. */
	get(position: number): LogEntry | undefined;
	/** Adds the next entry. */
	push(entry: LogEntry): void;
	/** Removes the last entry and returns it. */
	pop(): LogEntry | undefined;
	/** Returns the last position up to which both logs are equal. */
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
			// All entries of a term come from one primary, so two logs with the same term at a position are equal up to it.
			let position = Math.min(entries.length, other.end.position);
			while (position > 0 && get(position)!.term !== other.get(position)!.term) {
				position--;
			}

			return position;
		},
	};
}
