import process from 'node:process';
import {createExplanations, type ExplanationsService} from '../explanations/create-explanations.js';
import type {RefusalRecord} from '../explanations/refusal-record.js';
import {createSilentLog} from '../log/silent-log.js';
import type {Hosts} from '../membership/hosts.js';
import {throwPeerUnreachable} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import {createHttpPlatform} from '../object-store/http-platform.js';
import type {Platform, PlatformHost} from '../object-store/platform.js';
import type {Random} from '../random/random.js';
import {createRequestId} from '../random/request-id.js';
import {createSeededRandom} from '../random/seeded-random.js';
import {createPlatformServer} from '../stand-ins/platform/platform-server.js';
import {createInMemoryPlatform} from '../stand-ins/platform/in-memory-platform.js';
import {createObjectStore, type ObjectStore} from '../stand-ins/platform/object-store.js';
import {createFaultInjector} from '../stand-ins/platform/platform-faults.js';
import {createVirtualClock} from '../stand-ins/time/virtual-clock.js';
import type {Clock} from '../time/clock.js';
import {createSystemClock} from '../time/system-clock.js';

/** One figure of the trial. */
export type TrialFigure = {
	readonly name: string;
	readonly unit: string;
	readonly value: number;
};

/** Duration of each burst of refusals, and the steps in which the clock advances; in virtual milliseconds. */
const BURST_MS = 60_000;
const CLOCK_STEP_MS = 100;

/** Rates of refusals that are tried, per second at one host. */
const REFUSALS_PER_SECOND = [10, 1000, 100_000] as const;

/** Number of groups that refuse requests during a burst. */
const GROUP_COUNT = 20;

/** Number of searches over which a median is taken; fewer are made among the batches of more than 100 writers. */
const SEARCHES_PER_MEDIAN = 200;

/** Numbers of hosts that each wrote a full batch in the minute that is searched. */
const WRITER_COUNTS = [9, 900] as const;

const SIGNING_KEYS = ['a key of the trial, thirty-two by'];

/**
 * Measures the recorder of refusals on one host at a time, without a simulated cluster: how many records it keeps and what they cost by
 * the rate of refusals, and how long a search for `why` takes from memory, from a ticket and from a stand-in platform over HTTP on loopback.
 */
export async function runExplanationsTrial(seed: number): Promise<TrialFigure[]> {
	const figures: TrialFigure[] = [];
	for (const rate of REFUSALS_PER_SECOND) {
		figures.push(...await measureBurst(rate, seed));
	}

	for (const writers of WRITER_COUNTS) {
		figures.push(...await measureSearches(writers, seed));
	}

	return figures;
}

async function measureBurst(rate: number, seed: number): Promise<TrialFigure[]> {
	const clock = createVirtualClock();
	const random = createSeededRandom(seed);
	const store = createObjectStore({clock});
	const service = createHost(1, createInMemoryPlatform({store, clock}), clock, random);
	await service.start!();

	let processorMicroseconds = 0;
	for (let elapsed = 0; elapsed < BURST_MS; elapsed += CLOCK_STEP_MS) {
		const records = createRecords(rate * CLOCK_STEP_MS / 1000, clock.wall(), random);
		const before = process.cpuUsage();
		for (const record of records) {
			service.record(record);
		}

		const {user, system} = process.cpuUsage(before);
		processorMicroseconds += user + system;
		await clock.advance(CLOCK_STEP_MS);
	}

	await clock.advance(BURST_MS);
	const {seen, kept, leftOut, lost, calls} = service.figures;
	const bytes = store.list('explanations', '').objects.reduce((sum, {value}) => sum + JSON.stringify(value).length, 0);
	await service.stop!();
	const at = `at ${rate}/s for ${BURST_MS / 1000} s`;
	return [
		{name: `refusals ${at}`, unit: 'refusals', value: seen},
		{name: `records kept in the platform ${at}`, unit: 'records', value: kept},
		{name: `counted without a record ${at}`, unit: 'records', value: leftOut},
		{name: `lost ${at}`, unit: 'records', value: lost},
		{name: `platform writes ${at}`, unit: 'calls', value: calls},
		{name: `bytes written ${at}`, unit: 'bytes', value: bytes},
		{name: `processor time to record a refusal ${at}`, unit: 'µs', value: processorMicroseconds / seen},
	];
}

async function measureSearches(writers: number, seed: number): Promise<TrialFigure[]> {
	const clock = createSystemClock();
	const random = createSeededRandom(seed);
	const store = createObjectStore({clock});
	const server = createPlatformServer({store, faultInjector: createFaultInjector({clock})});
	const platform = createHttpPlatform({baseUrl: await server.listen({host: '127.0.0.1', port: 0}), clock});
	await platform.start?.();
	const host = createHost(0, platform, clock, random);
	const [record] = createRecords(1, clock.wall(), random) as [RefusalRecord];
	const ticket = host.record(record);
	const [wanted] = await writeBatches(writers, store, clock, random) as [RefusalRecord];

	const searchCount = writers > 100 ? 5 : SEARCHES_PER_MEDIAN;
	const figures = [
		{name: 'why from memory', unit: 'µs', value: 1000 * await getMedianMs(clock, SEARCHES_PER_MEDIAN, async () => searchFor(host, record))},
		{name: 'why from the ticket', unit: 'µs', value: 1000 * await getMedianMs(clock, SEARCHES_PER_MEDIAN, async () => [host.openTicket(ticket)!])},
		{name: `why from the platform, ${writers} full batches in the minute`, unit: 'ms', value: await getMedianMs(clock, searchCount, async () => searchFor(host, wanted))},
	];
	await platform.stop?.();
	await server.close();
	return figures;
}

/** Has many hosts write a full batch each, and resolves with the first record of the first host, for which the trial searches. */
async function writeBatches(writers: number, store: ObjectStore, clock: Clock, random: Random): Promise<RefusalRecord[]> {
	const platform = createInMemoryPlatform({store, clock});
	const wanted = createRecords(1, clock.wall(), random);
	for (let number = 1; number <= writers; number++) {
		const writer = createHost(number, platform, clock, random);
		const records = createRecords(1000, clock.wall(), random);
		for (const record of number === 1 ? [...wanted, ...records.slice(0, 500)] : records) {
			writer.record(record);
		}

		await writer.stop!();
	}

	return wanted;
}

async function getMedianMs(clock: Clock, count: number, search: () => Promise<readonly RefusalRecord[]>): Promise<number> {
	const times: number[] = [];
	for (let index = 0; index < count; index++) {
		const from = clock.now();
		const records = await search();
		if (records.length === 0) {
			throw new Error('a record of the trial was not found');
		}

		times.push(clock.now() - from);
	}

	return times.toSorted((left, right) => left - right)[Math.floor(count / 2)]!;
}

async function searchFor(host: ExplanationsService, {requestId}: RefusalRecord) {
	const {records} = await host.search(requestId);
	return records;
}

function createHost(number: number, platform: Platform, clock: Clock, random: Random): ExplanationsService {
	const self: PlatformHost = {
		name: `entry-${number}`, role: 'proxy', address: `127.0.0.1:${number}`, availabilityZone: 'hall-a', state: 'live',
	};
	const hosts: Hosts = {
		self,
		getAll: () => [self],
		getUsable: () => [self],
		reportUnreachable() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		reportReachable() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		reportLeaving() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		isEndpointLeaving: () => false,
	};
	const peers: Peers = {
		call: async address => throwPeerUnreachable(address),
		handle() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	};
	return createExplanations({
		platform, peers, hosts, clock, random, log: createSilentLog(), signingKeys: SIGNING_KEYS,
	});
}

/** Creates records of refusals as an owner with a full queue reports them, spread over several groups. */
function createRecords(count: number, at: number, random: Random): RefusalRecord[] {
	return Array.from({length: count}, (_, index) => ({
		code: 'queue-full',
		reason: `all 200 places in the interactive queue of nights-${index % GROUP_COUNT}-a are taken`,
		retryAfterMs: Math.floor(random.fraction() * 3000),
		facts: {
			endpoint: `nights-${index % GROUP_COUNT}-a`,
			class: 'interactive',
			remainingMs: Math.floor(random.fraction() * 10_000),
			predictedWaitMs: random.fraction() * 5000,
			serviceMs: 5 + random.fraction(),
			queued: 200,
			maxQueued: 200,
			running: 3,
			limit: 3,
			waitedMs: 0,
		},
		requestId: createRequestId(at, random),
		group: `nights-${index % GROUP_COUNT}`,
		asked: 'read',
		class: 'interactive',
		sessionId: createRequestId(at, random).slice(0, 8),
		outcome: 'not-run',
		host: 'entry-1',
		at,
		configVersion: 42,
	}));
}
