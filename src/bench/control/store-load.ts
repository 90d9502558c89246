import {createConfigurationWatch} from '../../configuration/configuration-watch.js';
import {createConfiguration} from '../../configuration/create-configuration.js';
import {createSilentLog} from '../../log/silent-log.js';
import {createHosts} from '../../membership/create-hosts.js';
import {ObjectKind, type PlatformHost} from '../../object-store/platform.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import {createInMemoryPlatform} from '../../stand-ins/platform/in-memory-platform.js';
import {createObjectStore, type ObjectStore} from '../../stand-ins/platform/object-store.js';
import {createFaultInjector, Outage, type FaultInjector} from '../../stand-ins/platform/platform-faults.js';
import {createVirtualSchedule, type VirtualSchedule} from '../virtual-schedule.js';
import {createHostList, DESIGN_SIZE} from './design-size-fleet.js';

type Figures = Readonly<Record<string, readonly [value: number, unit: string]>>;

const START_PERIOD_MS = 10_000;
/** Period without changes, in milliseconds of virtual time, as are the other times. */
const STEADY_STATE = {from: 20_000, to: 50_000};
const CHANGE_AT_MS = 60_000;
const ZONE_RETURNS_AT_MS = 70_000;
const ZONE_NODES = 129;
const OUTAGE = {from: 100_000, to: 160_000};
const END_MS = 180_000;
/** Round-trip time to the store, in milliseconds. */
const STORE_ROUND_TRIP_MS = 2;
const SECOND_MS = 1000;

/** Measures the calls that the configuration watches and host lists of a whole fleet make to the store, in virtual time. */
export async function measureStoreLoad(seed: number): Promise<Figures> {
	const schedule = createVirtualSchedule();
	const store = createObjectStore({clock: schedule});
	const gate = createFaultInjector({clock: schedule});
	gate.faults.requestDelayMs = STORE_ROUND_TRIP_MS / 2;
	gate.faults.answerDelayMs = STORE_ROUND_TRIP_MS / 2;
	store.setHosts(createHostList([]));
	const random = createSeededRandom(seed);
	for (const [index, self] of createHostList([]).entries()) {
		schedule.at(random.fraction() * START_PERIOD_MS, () => {
			startNode({
				schedule, store, gate, self, seed: (seed * DESIGN_SIZE.nodes) + index,
			});
		});
	}

	schedule.at(CHANGE_AT_MS, () => {
		store.put({
			kind: ObjectKind.Group, name: 'changed', value: {}, expectedVersion: 0,
		});
	});
	schedule.at(ZONE_RETURNS_AT_MS, () => {
		for (const [index, self] of createHostList([]).slice(0, ZONE_NODES).entries()) {
			startNode({
				schedule, store, gate, seed: -index - 1, self: {...self, name: `returned-${index}`},
			});
		}
	});
	schedule.at(OUTAGE.from, () => {
		gate.faults.outage = Outage.Silent;
	});
	schedule.at(OUTAGE.to, () => {
		gate.faults.outage = Outage.None;
	});

	const counts = await countCalls(schedule, gate);
	return {
		'store calls, 900 nodes, calm': [getMean(counts, STEADY_STATE.from, STEADY_STATE.to), 'calls/s'],
		'store calls, 900 nodes, most in a second after a change': [getMax(counts, CHANGE_AT_MS, CHANGE_AT_MS + 5000), 'calls/s'],
		'store calls, 129 nodes return at once, most in a second': [getMax(counts, ZONE_RETURNS_AT_MS, ZONE_RETURNS_AT_MS + 10_000), 'calls/s'],
		'store calls, 1,029 nodes, silent outage': [getMean(counts, OUTAGE.from + 20_000, OUTAGE.to), 'calls/s'],
		'store calls, 1,029 nodes, most in a second after an outage': [getMax(counts, OUTAGE.to, OUTAGE.to + 10_000), 'calls/s'],
	};
}

type NodeOptions = {
	readonly schedule: VirtualSchedule;
	readonly store: ObjectStore;
	readonly gate: FaultInjector;
	readonly self: PlatformHost;
	readonly seed: number;
};

function startNode({schedule, store, gate, self, seed}: NodeOptions) {
	const log = createSilentLog();
	const random = createSeededRandom(seed);
	const platform = createInMemoryPlatform({store, clock: schedule, sharedFaultInjector: gate});
	const common = {
		platform, clock: schedule, random, log,
	};
	void createConfigurationWatch({...common, configuration: createConfiguration({log})}).start?.();
	void createHosts({...common, self}).start();
}

/** Runs the schedule and returns the number of calls to the store in each second. */
async function countCalls(schedule: VirtualSchedule, gate: FaultInjector): Promise<number[]> {
	const counts: number[] = [];
	for (let until = SECOND_MS; until <= END_MS; until += SECOND_MS) {
		const before = gate.callCount;
		await schedule.runUntil(until);
		counts.push(gate.callCount - before);
	}

	return counts;
}

function getSeconds(counts: readonly number[], from: number, to: number): readonly number[] {
	return counts.slice(from / SECOND_MS, to / SECOND_MS);
}

function getMean(counts: readonly number[], from: number, to: number): number {
	const seconds = getSeconds(counts, from, to);
	return seconds.reduce((sum, count) => sum + count, 0) / seconds.length;
}

function getMax(counts: readonly number[], from: number, to: number): number {
	return Math.max(...getSeconds(counts, from, to));
}
