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
	const logger = bunyan.createLogger({
		name, hostname: hostName, level: level as bunyan.LogLevelString, stream,
	});

	// Guards against whatever reads the log dying: the write's error would be uncaught, its log line fail as well, and so on
	// for ever, in a process that serves nobody and heeds no signal. A log that cannot be written is done without.
	stream.on('error', () => undefined);

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
