import type {Log} from '../../src/log/log.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {AnswerCode} from '../../src/statements/statement-answer.js';
import {parseStatement} from '../../src/platform/caller-lines.js';
import {createScriptedCaller} from '../../src/stand-ins/proxies/scripted-caller.js';
import type {PlainObserver} from '../../src/stand-ins/plain-group/plain-server.js';
import {createSimulatedProxies, type SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {
	injectConfigurationFaults, pick, TurnedAway, type ConfigurationWorld,
} from './configuration-faults.js';
import {createContactLog} from './contact-log.js';
import {
	CHANGING_DATABASES, createRoute, createVersionStorm, GROUP, STABLE_DATABASES, UNKNOWN_DATABASE, type VersionStorm,
} from './version-storm.js';

/** Numbers of requests, and what was refused as busy because the configuration was not proven, on routes that exist all the time. */
export type ConfigurationFigures = {
	/** Requests on stable routes at hosts in touch, while one host at least reached the store. */
	stable: number;
	/** Those of them that were refused as busy for the configuration's sake. */
	stableBusy: number;
	/** The same while the store served no host. */
	stableAlone: number;
	stableBusyAlone: number;
	/** Requests on changing and unknown databases. */
	changing: number;
	/** Those of them that were refused as busy for the configuration's sake. */
	changingBusy: number;
	/** Those of them that were refused as unknown. */
	unknown: number;
};

/** Result of a schedule. */
export type ConfigurationOutcome = {
	readonly violations: readonly string[];
	readonly figures: ConfigurationFigures;
	readonly versions: number;
};

/** Options of {@link runConfigurationSchedule}. */
export type ConfigurationScheduleOptions = {
	readonly turnedAway?: TurnedAway;
	readonly lengthMs?: number;
	/** Time for which work may begin under a configuration that the store has not confirmed again, in milliseconds. */
	readonly maxRoutingAgeMs?: number;
	/** Creates the proxies' log. The time is the virtual time since the schedule's start, in milliseconds. */
	createLog?(getNow: () => number): Log;
};

const HOSTS = Array.from({length: 9}, (_, i) => `entry-${i + 1}`);
const ZONES = 4;
const SEEDS = 3;

/** Hosts that the seeds may still name. */
const GONE_HOSTS = Array.from({length: 9}, (_, i) => `gone-${i + 1}`);

/** Time in which an accepted configuration has to be in force at a host in touch, in milliseconds. */
const IN_FORCE_MS = 3000;

/** The same while the store turns every host away, in milliseconds. */
const IN_FORCE_WITHOUT_STORE_MS = 15_000;

/** Time without a disturbance after which a host is in touch, in milliseconds. */
const STABLE_MS = 4000;

const DEFAULT_LENGTH_MS = 40_000;
const START_UP_MS = 10_000;

/** Interval at which servers write to the store, in milliseconds. */
const HEARTBEAT_MS = 130;

/** Mean time between two sessions that are opened at a host, in milliseconds. */
const PROBE_MS = 200;

/** Time after which a session is used once more and closed, in milliseconds. */
const MAX_SESSION_MS = 5000;

const SILENT_OBSERVER: PlainObserver = {
	onRead() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	onCommit() {}, // eslint-disable-line @typescript-eslint/no-empty-function
};

/** A request and how it was answered. */
type Probe = {
	readonly host: string;
	readonly database: string;
	readonly what: string;
	readonly sentAt: number;
	readonly answeredAt: number;
	/** Undefined where the request was carried out. */
	readonly refusal?: AnswerCode;
	/** Whether the refusal, if any, is for the configuration's sake. */
	readonly isOfConfiguration: boolean;
};

const BUSY_OF_CONFIGURATION = /configuration/v;

/** Plays a random schedule of versions and faults against the real decisions. The same seed gives the same schedule. */
export async function runConfigurationSchedule(seed: number, options: ConfigurationScheduleOptions = {}): Promise<ConfigurationOutcome> {
	const clock = createVirtualClock(undefined, {drainRounds: 2});
	const random = createSeededRandom(seed);
	const startedAt = clock.now();
	const system = createSimulatedProxies({
		clock,
		seed,
		zoneCount: ZONES,
		getSeeds: () => Array.from({length: SEEDS}, () => pick(random, [...HOSTS, ...GONE_HOSTS])),
		groups: [{
			name: GROUP, zones: ['zone-0', 'zone-1', 'zone-2'], maxConnections: 60, observer: SILENT_OBSERVER,
		}],
		maxRoutingAgeMs: options.maxRoutingAgeMs ?? IN_FORCE_WITHOUT_STORE_MS,
		routes: STABLE_DATABASES.map(database => createRoute(database)),
		log: options.createLog?.(() => clock.now() - startedAt),
	});
	for (const host of HOSTS) {
		await clock.runUntil(system.startProxy(host));
	}

	await clock.advance(START_UP_MS);
	const storm = createVersionStorm(system.store, clock, random);
	const lengthMs = options.lengthMs ?? DEFAULT_LENGTH_MS;
	const endAt = clock.now() + lengthMs;
	const contact = createContactLog(HOSTS);
	const world: ConfigurationWorld = {
		system, clock, random, contact, hosts: HOSTS, faultsEndAt: endAt - STABLE_MS,
	};
	const judge = createJudge(world, storm, startedAt);
	void storm.run(endAt);
	void writeHeartbeats(world, endAt);
	void injectConfigurationFaults(world, options.turnedAway ?? TurnedAway.All);
	for (const host of HOSTS) {
		void probe(world, host, endAt, judge.add);
	}

	await clock.advance(lengthMs + MAX_SESSION_MS);
	system.stop();
	return {violations: judge.violations, figures: judge.figures, versions: storm.versions};
}

async function writeHeartbeats({system, clock}: ConfigurationWorld, until: number) {
	while (clock.now() < until) {
		await clock.sleep(HEARTBEAT_MS);
		system.registerEndpoints();
	}
}

function pickDatabase({random}: ConfigurationWorld): string {
	const fraction = random.fraction();
	return fraction < 0.1 ? UNKNOWN_DATABASE : pick(random, fraction < 0.6 ? CHANGING_DATABASES : STABLE_DATABASES);
}

/** Opens sessions at a host until the schedule ends. */
async function probe(world: ConfigurationWorld, host: string, until: number, add: (probe: Probe) => void) {
	const {clock, random, system} = world;
	while (clock.now() < until) {
		await clock.sleep(random.fraction() * 2 * PROBE_MS);
		const proxy = system.proxies.findLast(({name}) => name === host)!;
		if (!proxy.killed) {
			void useSession(world, proxy, add);
		}
	}
}

async function useSession(world: ConfigurationWorld, proxy: SimulatedProxy, add: (probe: Probe) => void) {
	const {clock, random} = world;
	const database = pickDatabase(world);
	const caller = createScriptedCaller();
	const host = proxy.name;
	void proxy.kernel.getOrThrow('gateway').serve(caller.channel);
	let sentAt = clock.now();
	const opened = await caller.open(database);
	if (proxy.killed) {
		return;
	}

	add({
		host, database, what: 'open', sentAt, answeredAt: clock.now(), refusal: opened ? undefined : caller.refusal ?? AnswerCode.Failed, isOfConfiguration: true,
	});
	if (!opened) {
		return;
	}

	await clock.sleep(random.fraction() * MAX_SESSION_MS);
	sentAt = clock.now();
	const answer = await caller.ask('s1', parseStatement('READ 1'));
	caller.leave();
	if (answer && !proxy.killed) {
		const {end} = answer;
		add({
			host,
			database,
			what: 'read',
			sentAt,
			answeredAt: clock.now(),
			...(end.kind === 'error' && {refusal: end.code}),
			isOfConfiguration: end.kind === 'error' && end.text.includes('configuration'),
		});
	}
}

/** Judges each request by the versions that were in force. */
function createJudge({contact}: ConfigurationWorld, storm: VersionStorm, startedAt: number) {
	const violations: string[] = [];
	const figures: ConfigurationFigures = {
		stable: 0, stableBusy: 0, stableAlone: 0, stableBusyAlone: 0, changing: 0, changingBusy: 0, unknown: 0,
	};

	const count = ({database, isOfConfiguration, refusal}: Probe, isReached: boolean) => {
		const isBusy = refusal === AnswerCode.Overloaded && isOfConfiguration ? 1 : 0;
		if (!STABLE_DATABASES.includes(database)) {
			figures.changing++;
			figures.changingBusy += isBusy;
			figures.unknown += refusal === AnswerCode.UnknownDatabase ? 1 : 0;
		} else if (isReached) {
			figures.stable++;
			figures.stableBusy += isBusy;
		} else {
			figures.stableAlone++;
			figures.stableBusyAlone += isBusy;
		}
	};

	const add = (probe: Probe) => {
		const {host, database, what, sentAt, answeredAt, refusal} = probe;
		if (!contact.isInTouch(host, sentAt - STABLE_MS, answeredAt)) {
			return;
		}

		const isReached = contact.isStoreReached(sentAt - STABLE_MS, answeredAt);
		count(probe, isReached);
		const isServed = refusal === undefined;
		const inForceMs = isServed && !isReached ? IN_FORCE_WITHOUT_STORE_MS : IN_FORCE_MS;
		const isDecided = isServed || refusal === AnswerCode.UnknownDatabase;
		if (isDecided && !storm.wasEver(database, isServed, sentAt - inForceMs, answeredAt)) {
			const effect = isServed ? 'was served though dropped' : 'was refused as unknown though added';
			const times = `${Math.round(sentAt - startedAt)} to ${Math.round(answeredAt - startedAt)}`;
			violations.push(`${times} ${host}: ${what} ${database} ${effect}${isReached ? '' : ', no host reached the store'}`);
		}
	};

	return {add, violations, figures};
}
