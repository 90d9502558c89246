import {ObjectKind, type PlatformHost} from '../../object-store/platform.js';
import {startLocalSystem, type LocalSystem} from '../../stand-ins/processes/local-system.js';
import {createSystemClock} from '../../time/system-clock.js';
import {getProcessorSeconds, getResidentBytes} from '../load/daemon-metrics.js';
import {getPrivateBytes, getTransferredBytes} from '../load/process-figures.js';
import {openIdleCallers} from './idle-callers.js';

/** Makeup of a fleet that serves no requests of callers. */
export type IdleFleet = {
	readonly nodes: number;
	/** Database groups of three servers. */
	readonly groups: number;
	/** Owners of each group, at most `nodes`. */
	readonly owners: number;
	/** Changes of a group's object per second. */
	readonly changesPerSecond: number;
	/** Number of hosts on the platform's list that do not exist. */
	readonly absentHosts: number;
	/** Idle connections of callers at each node. */
	readonly idleCallers: number;
};

/** Resources that all daemons of a fleet used together. */
export type FleetFigures = {
	/** Thousandths of a core. */
	readonly milliCores: number;
	/** Bytes read and written per second. */
	readonly bytesPerSecond: number;
	readonly residentMegabytes: number;
	/** Resident memory without the pages of the program, which the processes share. */
	readonly privateMegabytes: number;
	readonly platformCallsPerSecond: number;
};

const ZONES = ['hall-a', 'hall-b', 'hall-c'];
/** Time before the measurement, in milliseconds: longer than the time after which a group counts as idle. */
const WARM_UP_MS = 12_000;
/** Pause after the totals are read, in milliseconds, so that the bytes which that reading transfers are not counted. */
const READING_RECOVERY_MS = 500;
const MEASUREMENT_MS = 6000;
const CALL_TIMEOUT_MS = 2000;
const MEGABYTE = 1_048_576;

/** Starts a fleet, waits until its groups are idle, and measures the resources that it uses. */
export async function measureIdleFleet(fleet: IdleFleet): Promise<FleetFigures> {
	const system = await startLocalSystem({
		proxies: fleet.nodes,
		availabilityZones: ZONES,
		flags: ['--leave-notice-ms', '0'],
		groups: Array.from({length: fleet.groups}, (_, index) => ({
			name: `group-${index}`, availabilityZones: ZONES, connections: 20, slots: 3, config: {owners: Math.max(1, fleet.owners)},
		})),
	});
	try {
		return await measureSystem(system, fleet);
	} finally {
		await system.stop();
	}
}

async function measureSystem(system: LocalSystem, fleet: IdleFleet): Promise<FleetFigures> {
	const clock = createSystemClock();
	await system.setHosts([...system.proxies.map(({host}) => host), ...createAbsentHosts(fleet.absentHosts)]);
	const callers = await Promise.all(system.proxies.map(async ({callerUrl}) => openIdleCallers(callerUrl, fleet.idleCallers)));
	const stopped = new AbortController();
	const changes = makeChanges(system, fleet, stopped.signal);
	// The first reading loads and compiles code that later ones use.
	await readTotals(system);
	await clock.sleep(WARM_UP_MS);
	const startedAt = clock.now();
	const before = await readTotals(system);
	await clock.sleep(READING_RECOVERY_MS);
	const bytesBefore = await readBytes(system);
	await clock.sleep(MEASUREMENT_MS);
	const bytesAfter = await readBytes(system);
	const after = await readTotals(system);
	const seconds = (clock.now() - startedAt) / 1000;
	stopped.abort();
	await changes;
	for (const each of callers) {
		each.close();
	}

	return {
		milliCores: (after.processorSeconds - before.processorSeconds) * 1000 / seconds,
		bytesPerSecond: (bytesAfter - bytesBefore) * 1000 / MEASUREMENT_MS,
		residentMegabytes: after.residentBytes / MEGABYTE,
		privateMegabytes: after.privateBytes / MEGABYTE,
		platformCallsPerSecond: ((after.platformCalls - before.platformCalls) / seconds) - (2 * fleet.changesPerSecond),
	};
}

async function readTotals({proxies, platformUrl}: LocalSystem) {
	const processor = await Promise.all(proxies.map(async proxy => getProcessorSeconds(proxy)));
	const resident = await Promise.all(proxies.map(async proxy => getResidentBytes(proxy)));
	const privateMemory = await Promise.all(proxies.map(async ({process}) => getPrivateBytes(process.pid)));
	const res = await fetch(`${platformUrl}/control`);
	const {calls} = await res.json() as {calls: Record<string, number>};
	return {
		processorSeconds: sum(processor), residentBytes: sum(resident), privateBytes: sum(privateMemory), platformCalls: sum(Object.values(calls)),
	};
}

async function readBytes({proxies}: LocalSystem): Promise<number> {
	return sum(await Promise.all(proxies.map(async ({process}) => getTransferredBytes(process.pid))));
}

/** Rewrites objects of groups at a constant rate; each change is one read and one write. */
async function makeChanges({platform}: LocalSystem, {groups, changesPerSecond}: IdleFleet, stopped: AbortSignal) {
	const clock = createSystemClock();
	for (let index = 0; changesPerSecond > 0 && !stopped.aborted; index++) {
		const object = await platform.get(ObjectKind.Group, `group-${index % groups}`, CALL_TIMEOUT_MS);
		await platform.put({...object!, expectedVersion: object!.version}, CALL_TIMEOUT_MS);
		await clock.sleep(1000 / changesPerSecond, stopped);
	}
}

/** Creates hosts that do not exist, in the state `leaving`, so that none of them is ranked as an owner. */
function createAbsentHosts(count: number): PlatformHost[] {
	return Array.from({length: count}, (_, index) => ({
		name: `absent-${index}`, role: 'proxy', address: `127.1.${Math.floor(index / 250)}.${(index % 250) + 1}:7401`, availabilityZone: ZONES[index % ZONES.length]!, state: 'leaving',
	}));
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
