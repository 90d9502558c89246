import {defineCommand, renderUsage} from 'citty';
import type {Log} from '../log/log.js';
import {getFlagName, getVariableName, readSettings} from '../settings/read-settings.js';
import {SettingsError} from '../settings/settings-errors.js';
import {SETTING_DEFINITIONS} from '../settings/settings-schema.js';
import type {Settings} from '../settings/settings.js';
import {
	createDaemon, type Daemon, type DaemonOptions, type DaemonDependencies,
} from './create-daemon.js';

/** Exit codes of the daemon. */
export const DaemonExitCode = {
	/** The daemon was asked to stop, and stopped. */
	Ok: 0,
	/** The daemon could not start, or an error was not caught. */
	Failed: 1,
	/** A setting is invalid. */
	BadSettings: 2,
} as const;

/** One of the codes in {@link DaemonExitCode}. */
export type DaemonExitCode = typeof DaemonExitCode[keyof typeof DaemonExitCode];

/** Options for running the daemon: the daemon's own, and what it uses of its process. */
export type RunDaemonOptions = Omit<DaemonOptions, 'dependencies'> & {
	/** The arguments of the command line, without the program. */
	readonly args: readonly string[];
	readonly env: Readonly<Record<string, string | undefined>>;
	readonly output: NodeJS.WritableStream;
	readonly errors: NodeJS.WritableStream;
	/** Emits `SIGTERM`, `SIGINT` and `uncaughtException`, as the process does. */
	readonly events: ProcessEvents;
	/** Creates the daemon's dependencies from the settings. */
	readonly createDependencies: (settings: Settings) => DaemonDependencies;
};

/** Emits the events of the process. */
export type ProcessEvents = {
	on(event: string, listener: (detail: unknown) => void): unknown;
};

const VERSION = '0.1.0';

/** Runs the daemon until it is asked to stop or fails. Resolves with the exit code; the caller then exits the process. */
export async function runDaemon(options: RunDaemonOptions): Promise<DaemonExitCode> {
	const {args, output, errors, events, createDependencies} = options;
	if (args.includes('--help') || args.includes('-h')) {
		output.write(`${await getUsage()}\n`);
		return DaemonExitCode.Ok;
	}

	if (args.length === 1 && args[0] === '--version') {
		output.write(`${VERSION}\n`);
		return DaemonExitCode.Ok;
	}

	let settings: Settings;
	try {
		settings = readSettings(options);
	} catch (err) {
		if (err instanceof SettingsError) {
			errors.write(`aldercroftd: ${err.message}\n`);
			return DaemonExitCode.BadSettings;
		}

		throw err;
	}

	const dependencies = createDependencies(settings);
	const uncaught = waitForUncaught(events, dependencies.log);
	const served = serve(createDaemon({...options, dependencies}), events, dependencies.log);
	return Promise.race([uncaught, served]);
}

async function serve(daemon: Daemon, events: ProcessEvents, log: Log): Promise<DaemonExitCode> {
	const signal = waitForSignal(events);
	try {
		// A start that hangs must not delay the stop that a signal asks for.
		const startSignal = await Promise.race([signal, daemon.start()]);
		log.info(startSignal ? 'stopped before it had started' : 'serving', {signal: startSignal});
	} catch (err) {
		log.error('could not start', {err});
		await daemon.stop();
		return DaemonExitCode.Failed;
	}

	log.info('leaving', {signal: await signal});
	await daemon.stop();
	log.info('left');
	return DaemonExitCode.Ok;
}

async function waitForSignal(events: ProcessEvents): Promise<string> {
	return new Promise(resolve => {
		// The listeners are never removed: without them a second signal would end the process in the middle of the stop.
		for (const signal of ['SIGTERM', 'SIGINT']) {
			events.on(signal, () => {
				resolve(signal);
			});
		}
	});
}

async function waitForUncaught(events: ProcessEvents, log: Log): Promise<DaemonExitCode> {
	return new Promise(resolve => {
		events.on('uncaughtException', err => {
			log.error('an error was not caught', {err});
			resolve(DaemonExitCode.Failed);
		});
	});
}

async function getUsage(): Promise<string> {
	const args = Object.entries(SETTING_DEFINITIONS).map(([key, definition]) => {
		const name = key as keyof Settings;
		const requirement = definition.default === undefined ? 'must be given' : `default ${definition.default}`;
		const description = `${definition.description} (${definition.unit}, ${requirement}; or ${getVariableName(name)})`;
		return [getFlagName(name), {type: 'string' as const, description}] as const;
	});
	return renderUsage(defineCommand({
		meta: {name: 'aldercroftd', version: VERSION, description: 'The aldercroft daemon. Exit codes: 0 stopped when asked, 1 failed, 2 wrong settings'},
		args: Object.fromEntries(args),
	}));
}
