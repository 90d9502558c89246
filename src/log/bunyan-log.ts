import process from 'node:process';
import bunyan from 'bunyan';
import type {Clock} from '../time/clock.js';
import type {Log, LogFields} from './log.js';
import {redactFields} from './redact.js';

/** What the log needs. */
export type BunyanLogOptions = {
	readonly clock: Clock;
	/** Name of the program. */
	readonly name: string;
	/** Name of this host. */
	readonly hostName: string;
	/** Bunyan's name of the least level to print. */
	readonly level: string;
	/** Where the lines go; standard output unless given. */
	readonly stream?: NodeJS.WritableStream;
};

type Level = 'debug' | 'info' | 'warn' | 'error';

/** Creates a log that prints one JSON object a line. */
export function createBunyanLog({clock, name, hostName, level, stream = process.stdout}: BunyanLogOptions): Log {
	// Guards against a daemon that spins instead of serving and stopping: where the reader of its output is gone, each
	// line raises an error that nobody catches, and the line about that raises the next. Without its log it still serves.
	stream.on('error', ignoreLostReader);
	const logger = bunyan.createLogger({
		name, hostname: hostName, level: level as bunyan.LogLevelString, stream,
	});

	const createPart = (prefix: string): Log => {
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
			part: inner => createPart(prefix + inner),
		};
	};

	return createPart('');
}

function ignoreLostReader(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
