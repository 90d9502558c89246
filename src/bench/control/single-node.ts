import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {gzipSync} from 'node:zlib';
import {createConfiguration} from '../../configuration/create-configuration.js';
import {createRecordRing} from '../../explanations/record-ring.js';
import {RING_CAPACITY} from '../../explanations/create-explanations.js';
import {createSilentLog} from '../../log/silent-log.js';
import {createHostRanking} from '../../membership/host-ranking.js';
import {platformHostsSchema, platformListSchema} from '../../object-store/platform-schemas.js';
import {createRequestId} from '../../random/request-id.js';
import type {Random} from '../../random/random.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import {RefusalCode} from '../../refusals/refusal.js';
import {createRetries} from '../../retries/create-retries.js';
import {createRecentSessions, MAX_RECENT_SESSIONS} from '../../sessions/recent-sessions.js';
import type {Experiment, Measure} from '../experiment.js';
import {measureHeapBytes} from '../load/heap-figures.js';
import {createMeasure} from '../statistics.js';
import {measureOwnership} from './ownership.js';
import {measureStoreLoad} from './store-load.js';
import {createGroups, createHostList, createStoredList} from './design-size-fleet.js';

type Figures = Readonly<Record<string, readonly [value: number, unit: string]>>;

/** Measures memory and processor time of the parts of one node at the design size, in this process. */
export async function measureSingleNode({seeds, report}: Parameters<Experiment['run']>[0]): Promise<Measure[]> {
	const runs: Figures[] = [];
	for (const seed of seeds) {
		report(`control: inside one node, seed ${seed}`);
		const random = createSeededRandom(seed);
		runs.push({
			...await measureConfiguration(random),
			...await measureHostList(random),
			...measureOwnership(random),
			...await measureRecords(random),
			...await measureStoreLoad(seed),
		});
	}

	return Object.entries(runs[0]!).map(([name, [, unit]]) => createMeasure(name, unit, runs.map(run => run[name]![0])));
}

async function measureConfiguration(random: Random): Promise<Figures> {
	const text = createStoredText(random);
	let applyMs = 0;
	const bytes = await measureHeapBytes(() => {
		const configuration = createConfiguration({log: createSilentLog()});
		applyMs = timeMs(() => {
			configuration.applyList(platformListSchema.parse(JSON.parse(text)), 0);
		});
		return configuration;
	});
	return {
		'configuration, 1,100 groups: heap': [bytes / 1000, 'KB'],
		'configuration, 1,100 groups: parse, check and take': [applyMs, 'ms'],
		'configuration, 1,100 groups: list, plain': [Buffer.byteLength(text) / 1000, 'KB'],
		'configuration, 1,100 groups: list, gzipped': [gzipSync(text).length / 1000, 'KB'],
		'configuration, one group: object': [Buffer.byteLength(text) / 1100, 'B'],
	};
}

/** Creates the list in a function of its own, so that its objects are garbage before anything is measured. */
function createStoredText(random: Random): string {
	return JSON.stringify(createStoredList(createGroups(random)));
}

async function measureHostList(random: Random): Promise<Figures> {
	const hosts = createHostList(createGroups(random));
	const text = JSON.stringify(hosts);
	let parseMs = 0;
	const bytes = await measureHeapBytes(() => {
		let parsed: unknown;
		parseMs = timeMs(() => {
			parsed = platformHostsSchema.parse(JSON.parse(text));
		});
		return parsed;
	});
	return {
		'host list, 900 nodes and 3,300 servers: heap': [bytes / 1000, 'KB'],
		'host list, 900 nodes and 3,300 servers: parse and check': [parseMs, 'ms'],
		'host list, 900 nodes and 3,300 servers: gzipped': [gzipSync(text).length / 1000, 'KB'],
		'ranking of 1,100 groups: heap': [await measureHeapBytes(() => rankAllGroups(random, hosts)) / 1000, 'KB'],
	};
}

function rankAllGroups(random: Random, hosts: ReturnType<typeof createHostList>) {
	const ranking = createHostRanking(hosts.filter(({role}) => role === 'proxy'));
	for (const {name, endpoints} of createGroups(random)) {
		ranking.getOwners(name, 2, {isUsable: () => true, nearZones: endpoints.map(({availabilityZone}) => availabilityZone)});
	}

	return ranking;
}

async function measureRecords(random: Random): Promise<Figures> {
	const ringBytes = await measureHeapBytes(() => fillRing(random));
	const recentSessionsBytes = await measureHeapBytes(() => fillRecentSessions(random));
	const retriesBytes = await measureHeapBytes(() => fillRetries());
	return {
		'ring of 10,000 refusal records: heap': [ringBytes / 1000, 'KB'],
		'5,000 sightings of sessions: heap': [recentSessionsBytes / 1000, 'KB'],
		'retry budgets of 1,100 groups: heap': [retriesBytes / 1000, 'KB'],
	};
}

function fillRing(random: Random) {
	const ring = createRecordRing(RING_CAPACITY);
	for (let index = 0; index < RING_CAPACITY; index++) {
		ring.add({
			code: RefusalCode.QueueFull,
			reason: `the queue of class interactive at hall-a-${index} holds ${index}`,
			facts: {
				endpoint: `hall-a-${index}`, remainingMs: index + 0.5, predictedWaitMs: index, queued: index, limit: 3, share: 0.3,
			},
			retryAfterMs: index,
			requestId: createRequestId(index, random),
			group: `group-${index % 3}`,
			asked: 'read',
			class: 'interactive',
			outcome: 'not-run',
			host: 'entry-1',
			at: index,
			configVersion: 1,
		});
	}

	return ring;
}

function fillRecentSessions(random: Random) {
	const recentSessions = createRecentSessions();
	for (let index = 0; index < MAX_RECENT_SESSIONS; index++) {
		const id = createRequestId(index, random);
		recentSessions.note({
			session: {
				id, issuedAt: index, floors: {[`group-${index % 1100}`]: {term: 1, position: index}, [`group-${(index + 1) % 1100}`]: {term: 1, position: index}},
			},
			group: `group-${index % 1100}`,
			requestId: createRequestId(index, random),
			at: index,
		});
	}

	return recentSessions;
}

function fillRetries() {
	const retries = createRetries();
	for (let group = 0; group < 1100; group++) {
		for (let at = 0; at < 100; at++) {
			retries.noteFresh(`group-${group}`, at * 100);
		}
	}

	return retries;
}

function timeMs(work: () => void): number {
	const startedAt = performance.now();
	work();
	return performance.now() - startedAt;
}
