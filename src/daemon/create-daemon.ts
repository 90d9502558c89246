import {createHttpCallers} from '../callers/http-callers.js';
import type {Endpoints} from '../endpoints/endpoint.js';
import {createKernel, type Kernel} from '../kernel/kernel.js';
import type {Log} from '../log/log.js';
import type {Metrics} from '../metrics/metrics.js';
import {createOperatorHttp, type Readiness} from '../operators/operator-http.js';
import type {Peers} from '../peers/peers.js';
import type {Platform} from '../object-store/platform.js';
import type {Random} from '../random/random.js';
import type {Settings} from '../settings/settings.js';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';

/** The daemon's outside: everything that a test or a bench may replace. */
export type DaemonParts = {
	readonly clock: Clock;
	readonly random: Random;
	readonly settings: Settings;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly platform: Platform;
	readonly peers: Peers;
	readonly endpoints: Endpoints;
};

/** What the daemon is made from. */
export type DaemonOptions = {
	readonly parts: DaemonParts;
	/** Registers the inside on a kernel that holds the parts; among it `configuration`, `explanations` and `entry`. */
	readonly registerServices: (kernel: Kernel) => void;
	/** How many transactions this host holds open; a stop waits for them. */
	readonly countOpenTransactions?: (kernel: Kernel) => number;
};

/** One proxy: its services, and how they begin and end together. */
export type Daemon = {
	readonly kernel: Kernel;
	/** Starts the services in order; rejects with the error of the first that cannot start. */
	start(): Promise<void>;
	/**
	 * Stops gracefully within the setting `shutdownMs`: no longer ready, new work refused, groups handed on, work in flight ended,
	 * services stopped in reverse. Never rejects; what did not end in time is logged.
	 */
	stop(): Promise<void>;
};

/** Where the daemon stands between start and stop. */
const DaemonPhase = {
	Starting: 'starting',
	Serving: 'serving',
	Leaving: 'leaving',
} as const;

type DaemonPhase = typeof DaemonPhase[keyof typeof DaemonPhase];

/** Share of the bound on a stop in which work in flight may end; the rest is for the services' own ends. */
const DRAIN_SHARE = 0.8;

/** Assembles a daemon; nothing runs before it is started. */
export function createDaemon(options: DaemonOptions): Daemon {
	const {parts: {clock, settings, log}} = options;
	const kernel = createKernel();
	let phase: DaemonPhase = DaemonPhase.Starting;

	registerParts(kernel, options.parts);
	// The operator port comes before the inside, so that it tells the balancer of a start and of a stop as long as they last.
	registerOperators(kernel, () => getReadiness(kernel, phase));
	options.registerServices(kernel);
	registerCallers(kernel, options);

	const drainCallers = async () => {
		const drainMs = settings.shutdownMs * DRAIN_SHARE;
		const until = clock.now() + drainMs;
		const callers = kernel.getOrThrow('callers');
		// Callers that the balancer still sends here get an answer; a closed port would look like a failure.
		const notice = clock.sleep(Math.min(settings.leaveNoticeMs, drainMs));
		await Promise.all([
			notice,
			callers.drain(drainMs),
			kernel.get('owners')?.leave(drainMs),
		]);

		// A transaction that was being opened for another proxy's caller may have opened last of all.
		if (clock.now() < until) {
			await callers.drain(until - clock.now());
		}
	};

	const stopServices = async (served: boolean) => {
		try {
			await (served ? drainCallers() : undefined);
			await kernel.stop();
		} catch (err) {
			log.error('a service could not stop', {err});
		}
	};

	return {
		kernel,
		async start() {
			await kernel.start();
			if (phase === DaemonPhase.Starting) {
				phase = DaemonPhase.Serving;
			}
		},
		async stop() {
			const served = phase === DaemonPhase.Serving;
			phase = DaemonPhase.Leaving;
			const stopped = await withinMs(clock, settings.shutdownMs, stopServices(served));
			if (stopped.timedOut) {
				log.warn('the services did not stop within the bound', {shutdownMs: settings.shutdownMs});
			}
		},
	};
}

function registerParts(kernel: Kernel, parts: DaemonParts): void {
	kernel.register('clock', parts.clock);
	kernel.register('random', parts.random);
	kernel.register('settings', parts.settings);
	kernel.register('log', parts.log);
	kernel.register('metrics', parts.metrics);
	kernel.register('platform', parts.platform);
	kernel.register('peers', parts.peers);
	kernel.register('endpoints', parts.endpoints);
}

function registerOperators(kernel: Kernel, getReadinessNow: () => Readiness): void {
	const settings = kernel.getOrThrow('settings');
	kernel.register('operators', createOperatorHttp({
		log: kernel.getOrThrow('log').part('operators: '),
		metrics: kernel.getOrThrow('metrics'),
		address: settings.hostAddress,
		port: settings.operatorPort,
		getReadiness: getReadinessNow,
		getAccess: () => kernel.getOrThrow('operatorAccess'),
		getCommands: () => kernel.getOrThrow('operatorCommands'),
	}));
}

function registerCallers(kernel: Kernel, {countOpenTransactions}: DaemonOptions): void {
	const settings = kernel.getOrThrow('settings');
	kernel.register('callers', createHttpCallers({
		clock: kernel.getOrThrow('clock'),
		random: kernel.getOrThrow('random'),
		log: kernel.getOrThrow('log').part('callers: '),
		metrics: kernel.getOrThrow('metrics'),
		entry: kernel.getOrThrow('entry'),
		explanations: kernel.getOrThrow('explanations'),
		hostName: settings.hostName,
		address: settings.hostAddress,
		port: settings.callerPort,
		drainMs: 0,
		countOpenTransactions: () => countOpenTransactions?.(kernel) ?? 0,
	}));
}

/** A host without the configuration would refuse every caller that the balancer sends. */
function getReadiness(kernel: Kernel, phase: DaemonPhase): Readiness {
	if (phase !== DaemonPhase.Serving) {
		return {ready: false, reason: phase};
	}

	return kernel.getOrThrow('configuration').loaded ? {ready: true} : {ready: false, reason: 'no configuration'};
}
