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
import {createHttpFront} from '../stand-ins/platform/http-front.js';
import {createInMemoryPlatform} from '../stand-ins/platform/in-memory-platform.js';
import {createObjectStore, type ObjectStore} from '../stand-ins/platform/object-store.js';
import {createFaultGate} from '../stand-ins/platform/platform-faults.js';
import {createVirtualClock} from '../stand-ins/time/virtual-clock.js';
import type {Clock} from '../time/clock.js';
import {createSystemClock} from '../time/system-clock.js';

/** One figure of the trial. */
export type TrialFigure = {
	readonly name: string;
	readonly unit: string;
	readonly value: number;
};

/** How long each storm lasts, in virtual milliseconds, and in which steps the clock goes. */
const STORM_MS = 60_000;
const STEP_MS = 100;

/** Refusals a second at one host. */
const RATES = [10, 1000, 100_000] as const;

/** Kinds of refusal in a storm: groups that are in trouble at once. */
const GROUPS = 20;

/** Questions asked for each median. */
const QUESTIONS = 200;

/** Hosts that wrote a full batch into the minute in which a question is looked up. */
const WRITERS = [9, 900] as const;

const KEYS = ['a key of the trial, thirty-two by'];

/**
 * Tries the recorder alone, one host at a time: what it keeps and what it costs by the rate of refusals, and how long
 * `why` takes from memory, from the ticket and from a stand-in platform over HTTP on loopback. No cluster is simulated.
 */
export async function runExplanationsTrial(seed: number): Promise<TrialFigure[]> {
	const figures: TrialFigure[] = [];
	for (const rate of RATES) {
		figures.push(...await runStorm(rate, seed));
	}

	for (const writers of WRITERS) {
		figures.push(...await runQuestions(writers, seed));
	}

	return figures;
}

async function runStorm(rate: number, seed: number): Promise<TrialFigure[]> {
	const clock = createVirtualClock();
	const random = createSeededRandom(seed);
	const store = createObjectStore({clock});
	const service = createHost(1, createInMemoryPlatform({store, clock}), clock, random);
	await service.start!();

	let micros = 0;
	for (let elapsed = 0; elapsed < STORM_MS; elapsed += STEP_MS) {
		const records = createRecords(rate * STEP_MS / 1000, clock.wall(), random);
		const before = process.cpuUsage();
		for (const record of records) {
			service.record(record);
		}

		const {user, system} = process.cpuUsage(before);
		micros += user + system;
		await clock.advance(STEP_MS);
	}

	await clock.advance(STORM_MS);
	const {seen, kept, leftOut, lost, calls} = service.figures;
	const bytes = store.list('explanations', '').objects.reduce((sum, {value}) => sum + JSON.stringify(value).length, 0);
	await service.stop!();
	const at = `at ${rate}/s for ${STORM_MS / 1000} s`;
	return [
		{name: `refusals ${at}`, unit: 'refusals', value: seen},
		{name: `records kept in the platform ${at}`, unit: 'records', value: kept},
		{name: `counted without a record ${at}`, unit: 'records', value: leftOut},
		{name: `lost ${at}`, unit: 'records', value: lost},
		{name: `platform writes ${at}`, unit: 'calls', value: calls},
		{name: `bytes written ${at}`, unit: 'bytes', value: bytes},
		{name: `processor time to record a refusal ${at}`, unit: 'µs', value: micros / seen},
	];
}

async function runQuestions(writers: number, seed: number): Promise<TrialFigure[]> {
	const clock = createSystemClock();
	const random = createSeededRandom(seed);
	const store = createObjectStore({clock});
	const front = createHttpFront({store, gate: createFaultGate({clock})});
	const platform = createHttpPlatform({baseUrl: await front.listen({host: '127.0.0.1', port: 0}), clock});
	await platform.start?.();
	const host = createHost(0, platform, clock, random);
	const [record] = createRecords(1, clock.wall(), random) as [RefusalRecord];
	const ticket = host.record(record);
	const [wanted] = await fillMinute(writers, store, clock, random) as [RefusalRecord];

	const many = writers > 100 ? 5 : QUESTIONS;
	const figures = [
		{name: 'why from memory', unit: 'µs', value: 1000 * await getMedianMs(clock, QUESTIONS, async () => explain(host, record))},
		{name: 'why from the ticket', unit: 'µs', value: 1000 * await getMedianMs(clock, QUESTIONS, async () => [host.openTicket(ticket)!])},
		{name: `why from the platform, ${writers} full batches in the minute`, unit: 'ms', value: await getMedianMs(clock, many, async () => explain(host, wanted))},
	];
	await platform.stop?.();
	await front.close();
	return figures;
}

/** Has many hosts write a full batch each, and answers the first records. */
async function fillMinute(writers: number, store: ObjectStore, clock: Clock, random: Random): Promise<RefusalRecord[]> {
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

async function getMedianMs(clock: Clock, count: number, ask: () => Promise<readonly RefusalRecord[]>): Promise<number> {
	const times: number[] = [];
	for (let index = 0; index < count; index++) {
		const from = clock.now();
		const records = await ask();
		if (records.length === 0) {
			throw new Error('a record of the trial was not found');
		}

		times.push(clock.now() - from);
	}

	return times.toSorted((left, right) => left - right)[Math.floor(count / 2)]!;
}

async function explain(host: ExplanationsService, {requestId}: RefusalRecord) {
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
		platform, peers, hosts, clock, random, log: createSilentLog(), signingKeys: KEYS,
	});
}

/** Refusals as an owner with a full queue decides them, of several groups. */
function createRecords(count: number, at: number, random: Random): RefusalRecord[] {
	return Array.from({length: count}, (_, index) => ({
		code: 'queue-full',
		reason: `all 200 places in the interactive queue of nights-${index % GROUPS}-a are taken`,
		retryAfterMs: Math.floor(random.fraction() * 3000),
		facts: {
			endpoint: `nights-${index % GROUPS}-a`,
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
		group: `nights-${index % GROUPS}`,
		asked: 'read',
		class: 'interactive',
		sessionId: createRequestId(at, random).slice(0, 8),
		outcome: 'not-run',
		host: 'entry-1',
		at,
		configVersion: 42,
	}));
}
