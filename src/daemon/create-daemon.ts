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

/** The external dependencies of the daemon: everything that a test or a bench may replace. */
export type DaemonDependencies = {
	readonly clock: Clock;
	readonly random: Random;
	readonly settings: Settings;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly platform: Platform;
	readonly peers: Peers;
	readonly endpoints: Endpoints;
};

/** Options of the daemon. */
export type DaemonOptions = {
	readonly dependencies: DaemonDependencies;
	/** Registers the daemon's own services on a kernel that holds the dependencies. These include `configuration`, `explanations` and `entry`. */
	readonly registerServices: (kernel: Kernel) => void;
	/** Returns how many transactions are open at this host; a graceful stop waits for them. */
	readonly countOpenTransactions?: (kernel: Kernel) => number;
};

/** One proxy process: its services, which start and stop together. */
export type Daemon = {
	readonly kernel: Kernel;
	/** Starts the services in order of registration; rejects with the error of the first one that cannot start. */
	start(): Promise<void>;
	/**
	 * Stops gracefully within the setting `shutdownMs`: the daemon is no longer ready, refuses new work, hands its groups to other hosts, drains the work
	 * in flight and stops the services in reverse order. Never rejects; logs if the services did not stop in time.
	 */
	stop(): Promise<void>;
};

/** The phases of a daemon. */
const DaemonPhase = {
	Starting: 'starting',
	Serving: 'serving',
	Leaving: 'leaving',
} as const;

type DaemonPhase = typeof DaemonPhase[keyof typeof DaemonPhase];

/** The share of the time for a graceful stop in which work in flight may complete; the rest is for stopping the services. */
const DRAIN_SHARE = 0.8;

/** Creates a daemon; nothing runs before it is started. */
export function createDaemon(options: DaemonOptions): Daemon {
	const {dependencies: {clock, settings, log}} = options;
	const kernel = createKernel();
	let phase: DaemonPhase = DaemonPhase.Starting;

	registerDependencies(kernel, options.dependencies);
	// The operator port starts before the other services and stops after them, so that it reports the phase to the balancer during all of a start and a stop.
	registerOperators(kernel, () => getReadiness(kernel, phase));
	options.registerServices(kernel);
	registerCallers(kernel, options);

	const drainCallers = async () => {
		const drainMs = settings.shutdownMs * DRAIN_SHARE;
		const until = clock.now() + drainMs;
		const callers = kernel.getOrThrow('callers');
		// The port stays open for a while: callers that the balancer still sends here get an answer, while a closed port would look like a failure.
		const notice = clock.sleep(Math.min(settings.leaveNoticeMs, drainMs));
		await Promise.all([
			notice,
			callers.drain(drainMs),
			kernel.get('owners')?.leave(drainMs),
		]);

		// A transaction that was being opened for another proxy's caller may have opened after the first drain was done.
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

function registerDependencies(kernel: Kernel, dependencies: DaemonDependencies): void {
	kernel.register('clock', dependencies.clock);
	kernel.register('random', dependencies.random);
	kernel.register('settings', dependencies.settings);
	kernel.register('log', dependencies.log);
	kernel.register('metrics', dependencies.metrics);
	kernel.register('platform', dependencies.platform);
	kernel.register('peers', dependencies.peers);
	kernel.register('endpoints', dependencies.endpoints);
}

function registerOperators(kernel: Kernel, getReadinessNow: () => Readiness): void {
	const settings = kernel.getOrThrow('settings');
	kernel.register('operators', createOperatorHttp({
		log: kernel.getOrThrow('log').withPrefix('operators: '),
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
		log: kernel.getOrThrow('log').withPrefix('callers: '),
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

/** Returns whether the balancer may send callers. Without a configuration the host would refuse every one of them. */
function getReadiness(kernel: Kernel, phase: DaemonPhase): Readiness {
	if (phase !== DaemonPhase.Serving) {
		return {ready: false, reason: phase};
	}

	return kernel.getOrThrow('configuration').loaded ? {ready: true} : {ready: false, reason: 'no configuration'};
}
