import {pack} from 'msgpackr';
import {createSilentLog} from '../../log/silent-log.js';
import {RecordKind} from '../../mirror/metadata-store.js';
import {createStoreMirror, type StoreMirror} from '../../mirror/store-mirror.js';
import type {LivePeers} from '../../peers/create-peers.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import {ReadPolicy, type Route, type Routing} from '../../routes/routing.js';
import {createInMemoryMetadataStore, type InMemoryMetadataStore} from '../../stand-ins/metadata-store/in-memory-metadata-store.js';
import {createPeerNetwork, type PeerNetwork} from '../../stand-ins/peers/in-memory-peers.js';
import {createVirtualClock, type VirtualClock} from '../../stand-ins/time/virtual-clock.js';

/** One host of a fleet, with what it sent. */
export type NewsHost = {
	readonly name: string;
	readonly address: string;
	readonly zone: string;
	readonly mirror: StoreMirror;
	/** Bytes of questions and answers that it sent to other hosts. */
	sentBytes: number;
};

/** Mirrors of a whole fleet on one virtual clock. */
export type NewsFleet = {
	readonly clock: VirtualClock;
	readonly store: InMemoryMetadataStore;
	readonly network: PeerNetwork;
	readonly hosts: readonly NewsHost[];
	/** Bytes that crossed from zone to zone. */
	readonly crossBytes: number;
	/** Begins to count anew. */
	resetFigures(): void;
	/** Registers a host in the store. */
	register(host: NewsHost): Promise<void>;
	/** Registers and starts all hosts, and waits until they have news. */
	settle(): Promise<void>;
	/** Milliseconds until each of the hosts has a version of the configuration; undefined where some has not within 10 s. */
	awaitVersion(hosts: readonly NewsHost[], version: number): Promise<number | undefined>;
	stop(): void;
};

/** What a fleet is made of. */
export type NewsFleetOptions = {
	readonly hostCount: number;
	readonly zoneCount: number;
	readonly seeds?: number;
};

/** Time that hosts are given after their start, in milliseconds. */
const SETTLE_MS = 4000;

const LONGEST_WAIT_MS = 10_000;
const STEP_MS = 20;

/** A configuration of some routes. */
export function createRouting(version: number, routeCount: number, statementTimeoutMs = 1000): Routing {
	const routes = Array.from({length: routeCount}, (_, i): Route => ({
		name: `route-${i}`, database: `db${i}`, group: `g${i % 14}`, policy: ReadPolicy.OwnWrites, maxReadAgeMs: 2500, statementTimeoutMs, targetLatencyMs: 400, priority: 2,
	}));
	return {
		version,
		routes: new Map(routes.map(route => [route.database, route])),
		groups: new Map(Array.from({length: 14}, (_, i) => [`g${i}`, {name: `g${i}`, maxConnections: 117}])),
		workspaces: new Map(),
		idleTransactionMs: 3000,
	};
}

/** Creates a fleet that is not started. */
export function createNewsFleet({hostCount, zoneCount, seeds: seedCount = 0}: NewsFleetOptions): NewsFleet {
	const clock = createVirtualClock(undefined, {settleRounds: 2});
	const startedAt = clock.now();
	const store = createInMemoryMetadataStore(clock, createSeededRandom(1));
	const network = createPeerNetwork(clock);
	const hosts: NewsHost[] = [];
	const byAddress = new Map<string, NewsHost>();
	let crossBytes = 0;

	const noteSent = (from: NewsHost, to: string, content: unknown) => {
		const bytes = pack(content).length;
		from.sentBytes += bytes;
		crossBytes += byAddress.get(to)?.zone === from.zone ? 0 : bytes;
	};

	const names = Array.from({length: hostCount}, (_, i) => ({name: `entry-${i}`, address: `entry-${i}:7000`, zone: `zone-${i % zoneCount}`}));
	const seeds = names.slice(0, seedCount).map(({address}) => address);

	const countBytes = (peers: LivePeers, getHost: () => NewsHost): LivePeers => ({
		...peers,
		async call(address, kind, req, timeoutMs) {
			noteSent(getHost(), address, req);
			const res = await peers.call(address, kind, req, timeoutMs);
			const answering = byAddress.get(address);
			if (answering) {
				noteSent(answering, getHost().address, res);
			}

			return res;
		},
	});

	for (const {name, address, zone} of names) {
		const peers = countBytes(network.addHost(address), () => host);
		const mirror = createStoreMirror({
			store: store.getClient(name),
			peers,
			clock,
			elapsedClock: {elapsed: () => clock.now() - startedAt},
			log: createSilentLog(),
			host: {name, peerAddress: address, availabilityZone: zone},
			seeds,
			getChanging: () => [],
			getUnfenced: () => [],
			noteUnfenced() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		});
		const host: NewsHost = {
			name, address, zone, mirror, sentBytes: 0,
		};
		hosts.push(host);
		byAddress.set(address, host);
	}

	const register = async ({name, address, zone}: NewsHost) => {
		await store.getClient(name).putRecord(RecordKind.Hosts, {name, version: 0, value: {name, peerAddress: address, availabilityZone: zone}}, 900);
	};

	const resetFigures = () => {
		crossBytes = 0;
		for (const host of hosts) {
			host.sentBytes = 0;
		}
	};

	return {
		clock,
		store,
		network,
		hosts,
		get crossBytes() {
			return crossBytes;
		},
		resetFigures,
		register,
		async settle() {
			await clock.runUntil(Promise.all(hosts.map(async host => register(host))));
			for (const {mirror} of hosts) {
				void mirror.start();
			}

			await clock.advance(SETTLE_MS);
			resetFigures();
		},
		async awaitVersion(asked, version) {
			const since = clock.now();
			while (asked.some(({mirror}) => mirror.state.routing?.version !== version)) {
				if (clock.now() - since > LONGEST_WAIT_MS) {
					return undefined;
				}

				await clock.advance(STEP_MS);
			}

			return clock.now() - since;
		},
		stop() {
			for (const {mirror} of hosts) {
				void mirror.stop();
			}
		},
	};
}
