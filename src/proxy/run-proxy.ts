import {readFileSync} from 'node:fs';
import type {Server} from 'node:net';
import type {ProxyMetrics} from '../gateway/prom-gateway-metrics.js';
import type {Kernel} from '../kernel/kernel.js';
import type {Log} from '../log/log.js';
import {BootSettingsError, throwBootSettingsUnreadable} from '../platform/boot-errors.js';
import {parseBootSettings, type BootSettings} from '../platform/boot-settings.js';
import {openCallerPort} from '../platform/caller-port.js';
import {openReadinessPort} from '../platform/readiness-port.js';
import {createProxy, type ProxyParts} from './create-proxy.js';
import {leave} from './leave.js';
import {openMetricsPort} from './metrics-port.js';
import {ProxyUsageError} from './proxy-errors.js';
import {
	getProxyUsage, PROXY_VERSION, readProxyCommandLine, type ProxyCommandLine,
} from './read-proxy-command-line.js';

/** Exit codes of the proxy. */
export const ProxyExitCode = {
	/** It stopped as ordered. */
	Ok: 0,
	/** It could not start, or an error was not caught. */
	Failed: 1,
	/** A setting or an option of the command line is invalid. */
	BadSettings: 2,
} as const;

/** One of the codes in {@link ProxyExitCode}. */
export type ProxyExitCode = typeof ProxyExitCode[keyof typeof ProxyExitCode];

/** Dependencies of the proxy on its process. */
export type RunProxyOptions = {
	/** Path of the settings file; undefined where its environment variable is not set. */
	readonly settingsPath: string | undefined;
	/** The command line without the name of the program. */
	readonly args: readonly string[];
	readonly output: NodeJS.WritableStream;
	readonly errors: NodeJS.WritableStream;
	/** Emits signals and uncaught exceptions, as the process does. */
	readonly events: {on(event: string, listener: (detail: unknown) => void): unknown};
	readonly createParts: (settings: BootSettings, commandLine: ProxyCommandLine) => ProxyParts;
};

/** Runs the proxy until it is ordered to stop or fails. Resolves with the exit code; the process must end then. */
export async function runProxy(options: RunProxyOptions): Promise<ProxyExitCode> {
	const {settingsPath, output, errors, events, createParts} = options;
	let commandLine: ProxyCommandLine;
	let settings: BootSettings;
	try {
		commandLine = readProxyCommandLine(options.args);
		if (commandLine.help || commandLine.version) {
			output.write(commandLine.help ? `${await getProxyUsage()}\n` : `${PROXY_VERSION}\n`);
			return ProxyExitCode.Ok;
		}

		settings = readSettings(settingsPath);
	} catch (err) {
		if (err instanceof BootSettingsError || err instanceof ProxyUsageError) {
			errors.write(`aldercroft-proxy: ${err.message}\n`);
			return ProxyExitCode.BadSettings;
		}

		throw err;
	}

	if (commandLine.checkSettings) {
		output.write(`the settings of ${settings.hostName} in ${settings.availabilityZone} can be used\n`);
		return ProxyExitCode.Ok;
	}

	const parts = createParts(settings, commandLine);
	const {log} = parts;
	const stopped = new Promise<string>(resolve => {
		for (const signal of ['SIGTERM', 'SIGINT']) {
			events.on(signal, () => {
				resolve(signal);
			});
		}
	});
	events.on('SIGHUP', () => {
		noteReload(settingsPath, settings, log);
	});
	const uncaught = new Promise<ProxyExitCode>(resolve => {
		events.on('uncaughtException', err => {
			log.error('an error was not caught', {err});
			resolve(ProxyExitCode.Failed);
		});
	});
	return Promise.race([uncaught, serve(parts, settings, commandLine.metricsPort, stopped)]);
}

async function serve(parts: ProxyParts, settings: BootSettings, metricsPort: number | undefined, stopped: Promise<string>): Promise<ProxyExitCode> {
	const {log, clock} = parts;
	const kernel = createProxy(parts);
	const gateway = kernel.getOrThrow('gateway');
	const mirror = kernel.getOrThrow('storeMirror');
	let leaving = false;
	// A configuration and one endpoint are enough to serve callers; the primaries are found while reads are already served.
	const isReady = () => !leaving && mirror.state.routing !== undefined && mirror.state.endpoints.length > 0;
	let callerPort: Server;
	try {
		await openReadinessPort(settings.readinessAddress, isReady);
		callerPort = await openCallerPort(settings.callerAddress, async channel => gateway.serve(channel), (req, caller) => {
			log.warn('a request came after the end of its session', {
				kind: req.kind, id: 'id' in req ? req.id : undefined, caller, leaving,
			});
		});
		await kernel.start();
		if (metricsPort !== undefined) {
			openMetrics(kernel, settings, metricsPort);
		}
	} catch (err) {
		log.error('could not start', {err});
		return ProxyExitCode.Failed;
	}

	const {features} = parts;
	if (features?.scheduling ?? features?.zoneRegions) {
		log.info('features are in force', {scheduling: features.scheduling, regions: features.zoneRegions && [...new Set(features.zoneRegions.values())]});
	}

	log.info('serving', {callers: settings.callerAddress, peers: settings.peerAddress, zone: settings.availabilityZone});
	const signal = await stopped;
	leaving = true;
	log.info('leaving', {signal, open: gateway.sessions});
	await leave({
		gateway, leadershipWatch: kernel.getOrThrow('leadershipWatch'), checkoutServer: kernel.getOrThrow('checkoutServer'), callerPort, clock, log, graceMs: settings.graceMs,
	});
	log.info('left');
	return ProxyExitCode.Ok;
}

function openMetrics(kernel: Kernel, settings: BootSettings, port: number) {
	const metrics = kernel.getOrThrow('proxyMetrics');
	const [host = ''] = settings.callerAddress.split(':');
	const log = kernel.getOrThrow('log');
	openMetricsPort(host, port, metrics, () => {
		refreshMetrics(kernel, metrics);
	}, err => {
		log.warn('metrics: the port cannot be used', {port, reason: err.message});
	});
}

function refreshMetrics(kernel: Kernel, metrics: ProxyMetrics) {
	const mirror = kernel.getOrThrow('storeMirror');
	const directory = kernel.getOrThrow('endpointDirectory');
	const {elapsed} = kernel.getOrThrow('elapsedClock');
	const leaving = [...mirror.state.leadership.values()].map(({primaryId}) => primaryId).filter(id => directory.get(id)?.entry.leaving);
	metrics.setState({
		confirmationAgeSeconds: mirror.routingConfirmedAt === undefined ? -1 : (elapsed() - mirror.routingConfirmedAt) / 1000,
		routingVersion: mirror.state.routing?.version ?? 0,
		hosts: mirror.state.hosts.length,
		leavingPrimaries: leaving.length,
		unusablePrimaries: leaving.filter(id => !directory.mayTakeWork(id, elapsed())).length,
	});
	metrics.setRooms(kernel.get('endpointRooms')?.list() ?? []);
	metrics.setPools(mirror.state.endpoints.map(({id}) => directory.get(id)).filter(endpoint => endpoint !== undefined)
		.map(({entry, pool}) => ({
			endpoint: entry.id, open: pool.open, inUse: pool.inUse, waiting: pool.waiting,
		})));
}

function readSettings(path: string | undefined): BootSettings {
	if (path === undefined) {
		throwBootSettingsUnreadable('no settings file was named');
	}

	let text: string;
	try {
		text = readFileSync(path, 'utf8');
	} catch (err) {
		return throwBootSettingsUnreadable((err as Error).message, err);
	}

	return parseBootSettings(text);
}

/** Reads the settings file again and logs which settings differ. New settings need a restart; a file that cannot be used is logged and changes nothing. */
function noteReload(path: string | undefined, settings: BootSettings, log: Log) {
	try {
		const read = readSettings(path);
		const changed = Object.entries(read).filter(([name, value]) => JSON.stringify(value) !== JSON.stringify(settings[name as keyof BootSettings])).map(([name]) => name);
		log.info('the settings were read again', {changed});
	} catch (err) {
		log.warn('the settings cannot be used and stay as they were', {reason: (err as Error).message});
	}
}

