import type {Clock} from '../time/clock.js';
import type {Log, LogFields} from './log.js';

/** What bounds a log. */
export type BoundedLogOptions = {
	readonly clock: Clock;
	/** Whether what takes the lines has fallen behind, so that more would only fill memory. */
	isBacklogged(): boolean;
	/** Lines a second; see {@link LINES_PER_SECOND}. */
	readonly linesPerSecond?: number;
};

/**
 * Lines a second that are written on average. Writing them takes a small part of a core, also on a day on which every statement needs a line.
 */
export const LINES_PER_SECOND = 100;

/** Seconds of the average that may come at once: a failover touches every statement under way. */
const BURST_SECONDS = 4;

/** Creates a log that drops lines beyond a rate, or while its reader has fallen behind, and says how many. */
export function createBoundedLog(log: Log, options: BoundedLogOptions): Log {
	const perSecond = options.linesPerSecond ?? LINES_PER_SECOND;
	const most = perSecond * BURST_SECONDS;
	let left = most;
	let refilledAt: number | undefined;
	let dropped = 0;

	const takeOne = (now: number) => {
		left = Math.min(most, left + ((now - (refilledAt ?? now)) * perSecond / 1000));
		refilledAt = now;
		if (left < 1 || options.isBacklogged()) {
			dropped++;
			return false;
		}

		left--;
		return true;
	};

	const bound = (inner: Log): Log => {
		const print = (level: 'debug' | 'info' | 'warn' | 'error') => (sentence: string, fields?: LogFields) => {
			if (!takeOne(options.clock.now())) {
				return;
			}

			if (dropped > 0) {
				log.warn('log: lines were dropped', {dropped});
				dropped = 0;
			}

			inner[level](sentence, fields);
		};

		return {
			// What is printed only on demand is not counted against what is always printed.
			debug: inner.debug,
			info: print('info'),
			warn: print('warn'),
			error: print('error'),
			part: prefix => bound(inner.part(prefix)),
		};
	};

	return bound(log);
}
