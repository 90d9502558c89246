import type {LogPosition} from '../terms/log-position.js';

/** What stands where an end of the wire states no position. */
export const NO_POSITION = '-';

/** Writes a position as `term.number`. */
export function formatPosition({term, position}: LogPosition): string {
	return `${term}.${position}`;
}

/** Reads `term.number`, undefined for `-` or anything else. */
export function parsePosition(text: string): LogPosition | undefined {
	const match = /^(\d{1,15})\.(\d{1,15})$/v.exec(text);
	return match ? {term: Number(match[1]), position: Number(match[2])} : undefined;
}
