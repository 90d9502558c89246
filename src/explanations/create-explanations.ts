import type {Service} from '../kernel/service.js';
import type {Log} from '../log/log.js';
import type {Hosts} from '../membership/hosts.js';
import type {PlatformHost, Platform} from '../object-store/platform.js';
import type {Peers} from '../peers/peers.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import {searchBatches} from './batch-search.js';
import {createBatchRecorder, type RecorderFigures} from './batch-recorder.js';
import {createBatchSweeper} from './batch-sweeper.js';
import {boundRecord} from './bounded-record.js';
import {RecordSource, type ExplanationSearch, type ExplanationSearchResult} from './explanation-search.js';
import type {Explanations} from './explanations.js';
import {createRecordRing} from './record-ring.js';
import {createRefusalTickets} from './refusal-tickets.js';

/** Records kept in a host's memory: 7 MB, measured with records of ten facts. */
export const RING_CAPACITY = 10_000;

/** Peers asked at once. */
const PEERS_AT_ONCE = 16;

const PEER_TIMEOUT_MS = 1000;

/** Longest time that asking peers may take in all, in milliseconds. */
const ALL_PEERS_MS = 5000;

/** Longest time that the last batch may take when the host stops, in milliseconds. */
const LAST_FLUSH_MS = 2000;

/** Most records of one request that a peer answers with. */
const MAX_RECORDS_ANSWERED = 20;

/** Options of {@link createExplanations}. */
export type ExplanationsOptions = {
	readonly platform: Platform;
	readonly peers: Peers;
	readonly hosts: Hosts;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	/** Keys that sign tickets, current first. */
	readonly signingKeys: readonly string[];
};

/** Keeps and finds the reasons of refusals, with its background work and figures. */
export type ExplanationsService = Explanations & ExplanationSearch & Service & {
	/** What became of the records of this host. */
	readonly figures: RecorderFigures;
};

/** Creates the keeper of this host's records. */
export function createExplanations(options: ExplanationsOptions): ExplanationsService {
	const {platform, peers, hosts, clock, random} = options;
	const log = options.log.withPrefix('explanations: ');
	const tickets = createRefusalTickets({keys: options.signingKeys});
	const ring = createRecordRing(RING_CAPACITY);
	const recorder = createBatchRecorder({
		host: hosts.self.name, platform, clock, random, log,
	});
	const sweeper = createBatchSweeper({
		platform, clock, hosts, log,
	});
	const abort = new AbortController();
	let work: Promise<unknown> = Promise.resolve();

	peers.handle('explain', async ({requestId}) => ({records: ring.getRecords(requestId).slice(-MAX_RECORDS_ANSWERED)}));

	const askPeer = async (host: PlatformHost, requestId: string) => {
		try {
			const answer = await peers.call(host.address, 'explain', {requestId}, PEER_TIMEOUT_MS);
			return answer.records;
		} catch {
			return undefined;
		}
	};

	const askPeers = async (requestId: string) => {
		const others = hosts.getUsable(clock.now()).filter(host => host.name !== hosts.self.name);
		const until = clock.now() + ALL_PEERS_MS;
		let silent = 0;
		let asked = 0;
		while (asked < others.length && clock.now() < until) {
			const wave = others.slice(asked, asked + PEERS_AT_ONCE);
			asked += wave.length;
			const answers = await Promise.all(wave.map(async host => askPeer(host, requestId)));
			silent += answers.filter(answer => answer === undefined).length;
			const records = answers.flatMap(answer => answer ?? []);
			if (records.length > 0) {
				return {records, asked, silent};
			}
		}

		return {records: [], asked, silent: silent + others.length - asked};
	};

	const search = async (requestId: string): Promise<ExplanationSearchResult> => {
		const own = ring.getRecords(requestId);
		if (own.length > 0) {
			return {
				records: own, source: RecordSource.Memory, hostsAsked: 1, hostsSilent: 0, platformAnswered: true, notKept: 0,
			};
		}

		const fromPeers = await askPeers(requestId);
		const asked = {hostsAsked: fromPeers.asked + 1, hostsSilent: fromPeers.silent};
		if (fromPeers.records.length > 0) {
			return {
				...asked, records: fromPeers.records, source: RecordSource.Peer, platformAnswered: true, notKept: 0,
			};
		}

		const {records, notKept, answered} = await searchBatches(platform, requestId);
		return {
			...asked,
			records,
			source: records.length > 0 ? RecordSource.Platform : RecordSource.None,
			platformAnswered: answered,
			notKept,
		};
	};

	return {
		record(record) {
			const bounded = boundRecord(record);
			ring.add(bounded);
			recorder.add(bounded);
			return tickets.sign(bounded);
		},
		openTicket: ticket => tickets.open(ticket),
		async find(requestId) {
			const {records} = await search(requestId);
			return records;
		},
		search,
		get figures() {
			return recorder.figures;
		},
		async start() {
			work = Promise.all([recorder.run(abort.signal), sweeper.run(abort.signal)]);
		},
		async stop() {
			abort.abort();
			await work;
			await recorder.flush(LAST_FLUSH_MS);
		},
	};
}
