import process from 'node:process';
import bunyan from 'bunyan';
import type {Clock} from '../time/clock.js';
import type {Log, LogFields} from './log.js';
import {redactFields} from './redact.js';

/** Options of the log. */
export type BunyanLogOptions = {
	readonly clock: Clock;
	/** The name of the program. */
	readonly name: string;
	/** The name of this host. */
	readonly hostName: string;
	/** Bunyan's name of the lowest level to print. */
	readonly level: string;
	/** The stream that the lines are written to; standard output unless given. */
	readonly stream?: NodeJS.WritableStream;
};

type Level = 'debug' | 'info' | 'warn' | 'error';

/** Creates a log that prints each line as one JSON object. */
export function createBunyanLog({clock, name, hostName, level, stream = process.stdout}: BunyanLogOptions): Log {
	// Without this listener the daemon would spin instead of serving and stopping once the reader of its output is gone: each line would
	// raise an uncaught error, and the line that logs that error would raise the next one. With it the daemon serves on without a log.
	stream.on('error', ignoreError);
	const logger = bunyan.createLogger({
		name, hostname: hostName, level: level as bunyan.LogLevelString, stream,
	});

	const createPrefixedLog = (prefix: string): Log => {
		const print = (lineLevel: Level) => (sentence: string, fields: LogFields = {}) => {
			if (logger[lineLevel]()) {
				logger[lineLevel]({...redactFields(fields), time: new Date(clock.wall())}, '%s', prefix + sentence);
			}
		};

		return {
			debug: print('debug'),
			info: print('info'),
			warn: print('warn'),
			error: print('error'),
			withPrefix: inner => createPrefixedLog(prefix + inner),
		};
	};

	return createPrefixedLog('');
}

function ignoreError(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
