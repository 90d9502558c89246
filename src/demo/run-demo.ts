import {createSystemRandom} from '../random/system-random.js';
import type {ManagedProcess} from '../stand-ins/processes/child-process.js';
import {startLocalSystem, type LocalSystem} from '../stand-ins/processes/local-system.js';
import {createSystemClock} from '../time/system-clock.js';
import {auditTrail} from './audit-trail.js';
import {createBalancer} from './balancer.js';
import {
	FILINGS, SLEEP_LOGS, type Scenario, type Demo,
} from './demo.js';
import {drainEndpoint} from './drain-endpoint.js';
import {laggingReplicas} from './lagging-replicas.js';
import {loseHost} from './lose-host.js';
import {losePrimary} from './lose-primary.js';
import {createOperator, type DemoOperator} from './operator.js';
import {createGuarantees} from './guarantees.js';
import {refuseAndExplain} from './refuse-and-explain.js';
import {replaceHost} from './replace-host.js';
import {roamSession} from './roam-session.js';
import {createDemoOutput, type DemoOutput} from './demo-output.js';
import {syncNights} from './sync-nights.js';

/** Options of the demo. */
export type RunDemoOptions = {
	readonly print: (line: string) => void;
	/** Emits `SIGINT` and `SIGTERM`, as the process does. */
	readonly events: NodeJS.EventEmitter;
};

/** Exit code of a run that was interrupted or could not be completed. */
const FAILED = 1;

const PROXIES = 9;
const GRANITE_LOOP_ZONES = ['hall-a', 'hall-b', 'hall-c', 'hall-d'];
const BUREAU_ZONES = ['lozenets', 'mladost', 'druzhba'];
const LAG_MS = 20;
const LEAVE_NOTICE_MS = 500;

/** Time after which a process that does not end is killed, in milliseconds. */
const STOP_TIMEOUT_MS = 5000;

const SCENARIOS: readonly Scenario[] = [
	syncNights, roamSession, laggingReplicas, losePrimary, loseHost, drainEndpoint, replaceHost, refuseAndExplain, auditTrail,
];

/** Runs the whole demo. Resolves with the exit code once every process that it started has ended. */
export async function runDemo({print, events}: RunDemoOptions): Promise<number> {
	const clock = createSystemClock();
	const random = createSystemRandom();
	const output = createDemoOutput({print});
	const guarantees = createGuarantees(output);
	const bootstrap = createOperator(random);
	const dana = createOperator(random);
	const iva = createOperator(random);
	const spawned: ManagedProcess[] = [];
	const interrupted = waitForInterrupt(events);
	const startedAt = clock.now();

	const startAndRun = async () => {
		print('aldercroft: nine daemons, two database groups of three servers and a platform, as processes on loopback');
		const system = await startSystem(bootstrap, managed => spawned.push(managed));
		print(`All were ready after ${formatSeconds(clock.now() - startedAt)}.`);
		const demo: Demo = {
			system, clock, random, output, guarantees, dana, iva, balancer: createBalancer(system.proxies),
		};
		await createOperators(demo, bootstrap);
		await runScenarios(demo);
	};

	try {
		const signal = await Promise.race([interrupted, startAndRun()]);
		print('');
		return signal ? describeInterrupt(output, signal) : guarantees.conclude();
	} catch (err) {
		output.showVerdict(false, `the story could not be told to its end: ${(err as Error).message}`);
		return FAILED;
	} finally {
		await Promise.all(spawned.map(async managed => managed.stop(STOP_TIMEOUT_MS)));
		print(`Every process has ended. The whole took ${formatSeconds(clock.now() - startedAt)}.`);
	}
}

/** Creates the first operators with the bootstrap token, whose hash is in the settings. */
async function createOperators({dana, iva, balancer}: Demo, bootstrap: DemoOperator): Promise<void> {
	await bootstrap.runOrThrow(`create operator dana role operate token-hash ${dana.tokenHash}`, balancer.next());
	await bootstrap.runOrThrow(`create operator iva role operate token-hash ${iva.tokenHash}`, balancer.next());
}

async function startSystem(bootstrap: DemoOperator, onSpawned: (managed: ManagedProcess) => void): Promise<LocalSystem> {
	return startLocalSystem({
		proxies: PROXIES,
		availabilityZones: [...GRANITE_LOOP_ZONES, ...BUREAU_ZONES],
		groups: [
			{
				name: SLEEP_LOGS, availabilityZones: GRANITE_LOOP_ZONES.slice(0, 3), connections: 20, slots: 3, lagMs: LAG_MS,
			},
			{
				name: FILINGS, availabilityZones: BUREAU_ZONES, connections: 35, slots: 2, lagMs: LAG_MS,
			},
		],
		flags: ['--bootstrap-token-hash', bootstrap.tokenHash, '--leave-notice-ms', String(LEAVE_NOTICE_MS)],
		onSpawned,
	});
}

async function runScenarios(demo: Demo): Promise<void> {
	for (const scenario of SCENARIOS) {
		demo.output.beginScenario(scenario.title, scenario.why);
		await scenario.run(demo);
	}
}

async function waitForInterrupt(events: NodeJS.EventEmitter): Promise<string> {
	return new Promise(resolve => {
		// The listeners stay registered: without one, a second signal would end this process and leave its children running.
		for (const signal of ['SIGINT', 'SIGTERM']) {
			events.on(signal, () => {
				resolve(signal);
			});
		}
	});
}

function describeInterrupt(output: DemoOutput, signal: string): number {
	output.showVerdict(false, `the story was interrupted by ${signal}`);
	return FAILED;
}

function formatSeconds(ms: number): string {
	return `${(ms / 1000).toFixed(1)} s`;
}
