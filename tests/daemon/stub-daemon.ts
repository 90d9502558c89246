import type {CallerResponse} from '../../src/callers/caller-response.js';
import type {DaemonDependencies} from '../../src/daemon/create-daemon.js';
import type {Kernel} from '../../src/kernel/kernel.js';
import type {Service} from '../../src/kernel/service.js';
import type {LogFields} from '../../src/log/log.js';
import {createPromMetrics} from '../../src/metrics/prom-metrics.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import type {Settings} from '../../src/settings/settings.js';
import {createVirtualClock, type VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const KEY = 'k'.repeat(32);

export const STUB_SETTINGS: Settings = {
	hostName: 'entry-1',
	hostAddress: '127.0.0.1',
	availabilityZone: 'hall-a',
	callerPort: 0,
	peerPort: 0,
	operatorPort: 0,
	platformUrl: 'http://127.0.0.1:1',
	signingKeys: [KEY],
	peerKeys: [KEY],
	endpointUser: 'aldercroft',
	endpointPassword: 'hush',
	endpointDatabase: 'postgres',
	bootstrapTokenHash: '',
	logLevel: 'info',
	shutdownMs: 10_000,
	leaveNoticeMs: 2000,
};

/** Stubs of a daemon's dependencies and services, which record what happens to them. */
export type StubDaemon = {
	readonly clock: VirtualClock;
	readonly events: string[];
	readonly dependencies: DaemonDependencies;
	readonly registerServices: (kernel: Kernel) => void;
	/** What the stubs do; tests may change it. */
	readonly behaviour: {
		loaded: boolean;
		execute: () => Promise<CallerResponse>;
		start: () => Promise<void>;
		stop: () => Promise<void>;
	};
};

/** Creates stubs that all work. */
export function createStubDaemon(): StubDaemon {
	const clock = createVirtualClock();
	const events: string[] = [];
	const behaviour: StubDaemon['behaviour'] = {
		loaded: true,
		execute: async () => ({outcome: 'done', requestId: ''}),
		async start() {
			events.push('service starts');
		},
		async stop() {
			events.push('service stops');
		},
	};
	const write = (sentence: string, fields?: LogFields) => {
		events.push([sentence, (fields?.err as Error | undefined)?.message].filter(Boolean).join(': '));
	};

	const log = {
		debug: write, info: write, warn: write, error: write, withPrefix: () => log,
	};
	const platform: Service = {
		async stop() {
			events.push('platform stops');
		},
	};
	const dependencies = {
		clock, random: createSeededRandom(1), settings: STUB_SETTINGS, log, metrics: createPromMetrics(), platform, peers: {}, endpoints: {},
	} as unknown as DaemonDependencies;

	const registerServices = (kernel: Kernel) => {
		const configuration = {
			get loaded() {
				return behaviour.loaded;
			},
			start: async () => behaviour.start(),
			stop: async () => behaviour.stop(),
		};
		kernel.register('configuration', configuration as never);
		kernel.register('explanations', {record: () => 'ticket'} as never);
		kernel.register('entry', {execute: async () => behaviour.execute()} as never);
		kernel.register('operatorAccess', {identify: () => ({name: 'dana', role: 'view'})});
		kernel.register('operatorCommands', {run: async command => ({status: 'ok', text: command, data: null})});
	};

	return {
		clock, events, dependencies, registerServices, behaviour,
	};
}
