import type {LogPosition} from '../terms/log-position.js';

/** Stands in a message in place of a log position that is not given. */
export const NO_POSITION = '-';

/** Formats a log position as `term.number`. */
export function formatPosition({term, position}: LogPosition): string {
	return `${term}.${position}`;
}

/** Parses a log position in the form `term.number`; returns undefined for `-` or any other text. */
export function parsePosition(text: string): LogPosition | undefined {
	const match = /^(\d{1,15})\.(\d{1,15})$/v.exec(text);
	return match ? {term: Number(match[1]), position: Number(match[2])} : undefined;
}
