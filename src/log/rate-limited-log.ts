import type {Clock} from '../time/clock.js';
import type {Log, LogFields} from './log.js';

/** Options of a rate-limited log. */
export type RateLimitedLogOptions = {
	readonly clock: Clock;
	/** Whether the reader of the lines has fallen behind, so that further lines would only fill memory. */
	isBacklogged(): boolean;
	/** Average lines per second; {@link DEFAULT_LINES_PER_SECOND} unless given. */
	readonly linesPerSecond?: number;
};

/** Average number of lines per second that may be written. Writing them takes a small part of a core, even when every statement logs a line. */
export const DEFAULT_LINES_PER_SECOND = 100;

/** How many seconds' worth of lines may be written at once: a failover affects every statement in flight. */
const BURST_SECONDS = 4;

/**
 * Creates a log that drops lines above a rate, or while its reader has fallen behind. Before the next line that it writes, it logs how many were
 * dropped. Debug lines are not limited.
 */
export function createRateLimitedLog(log: Log, options: RateLimitedLogOptions): Log {
	const perSecond = options.linesPerSecond ?? DEFAULT_LINES_PER_SECOND;
	const maxTokens = perSecond * BURST_SECONDS;
	let tokens = maxTokens;
	let refilledAt: number | undefined;
	let dropped = 0;

	const takeToken = (now: number) => {
		tokens = Math.min(maxTokens, tokens + ((now - (refilledAt ?? now)) * perSecond / 1000));
		refilledAt = now;
		if (tokens < 1 || options.isBacklogged()) {
			dropped++;
			return false;
		}

		tokens--;
		return true;
	};

	const limit = (inner: Log): Log => {
		const print = (level: 'debug' | 'info' | 'warn' | 'error') => (sentence: string, fields?: LogFields) => {
			if (!takeToken(options.clock.now())) {
				return;
			}

			if (dropped > 0) {
				log.warn('log: lines were dropped', {dropped});
				dropped = 0;
			}

			inner[level](sentence, fields);
		};

		return {
			// Debug lines are printed only on demand and do not count towards the rate of the others.
			debug: inner.debug,
			info: print('info'),
			warn: print('warn'),
			error: print('error'),
			withPrefix: prefix => limit(inner.withPrefix(prefix)),
		};
	};

	return limit(log);
}
