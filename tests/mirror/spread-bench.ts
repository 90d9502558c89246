import {pack} from 'msgpackr';
import {createSilentLog} from '../../src/log/silent-log.js';
import {RecordKind} from '../../src/mirror/metadata-store.js';
import {createStoreMirror, type StoreMirror} from '../../src/mirror/store-mirror.js';
import type {LivePeers} from '../../src/peers/create-peers.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {ReadPolicy, type Route, type Routing} from '../../src/routes/routing.js';
import {createInMemoryMetadataStore, type InMemoryMetadataStore} from '../../src/stand-ins/metadata-store/in-memory-metadata-store.js';
import {createPeerNetwork, type PeerNetwork} from '../../src/stand-ins/peers/in-memory-peers.js';
import {createVirtualClock, type VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

/** One host of a fleet, with what it sent. */
export type SpreadHost = {
	readonly name: string;
	readonly address: string;
	readonly zone: string;
	readonly mirror: StoreMirror;
	/** Bytes of questions and answers that it sent to other hosts. */
	sentBytes: number;
};

/** Mirrors of a whole fleet on one virtual clock. */
export type SpreadBench = {
	readonly clock: VirtualClock;
	readonly store: InMemoryMetadataStore;
	readonly network: PeerNetwork;
	readonly hosts: readonly SpreadHost[];
	/** Bytes that crossed from zone to zone. */
	readonly crossBytes: number;
	/** Begins to count anew. */
	resetFigures(): void;
	/** Registers a host in the store. */
	register(host: SpreadHost): Promise<void>;
	stop(): void;
};

/** What a fleet is made of. */
export type SpreadOptions = {
	readonly hostCount: number;
	readonly zoneCount: number;
	readonly seeds?: number;
};

/** A configuration of some routes. */
export function createRouting(version: number, routeCount: number, statementTimeoutMs = 1000): Routing {
	const routes = Array.from({length: routeCount}, (_, i): Route => ({
		name: `route-${i}`, database: `db${i}`, group: `g${i % 14}`, policy: ReadPolicy.OwnWrites, maxReadAgeMs: 2500, statementTimeoutMs, targetLatencyMs: 400, priority: 2,
	}));
	return {
		version,
		routes: new Map(routes.map(route => [route.database, route])),
		groups: new Map(Array.from({length: 14}, (_, i) => [`g${i}`, {name: `g${i}`, maxConnections: 117}])),
		idleTransactionMs: 3000,
	};
}

/** Creates a fleet that is not started. */
export function createSpreadBench({hostCount, zoneCount, seeds: seedCount = 0}: SpreadOptions): SpreadBench {
	const clock = createVirtualClock(undefined, {settleRounds: 2});
	const startedAt = clock.now();
	const store = createInMemoryMetadataStore(clock, createSeededRandom(1));
	const network = createPeerNetwork(clock);
	const hosts: SpreadHost[] = [];
	const byAddress = new Map<string, SpreadHost>();
	let crossBytes = 0;

	const noteSent = (from: SpreadHost, to: string, content: unknown) => {
		const bytes = pack(content).length;
		from.sentBytes += bytes;
		crossBytes += byAddress.get(to)?.zone === from.zone ? 0 : bytes;
	};

	const names = Array.from({length: hostCount}, (_, i) => ({name: `entry-${i}`, address: `entry-${i}:7000`, zone: `zone-${i % zoneCount}`}));
	const seeds = names.slice(0, seedCount).map(({address}) => address);

	const countBytes = (peers: LivePeers, getHost: () => SpreadHost): LivePeers => ({
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
		const host: SpreadHost = {
			name, address, zone, mirror, sentBytes: 0,
		};
		hosts.push(host);
		byAddress.set(address, host);
	}

	return {
		clock,
		store,
		network,
		hosts,
		get crossBytes() {
			return crossBytes;
		},
		resetFigures() {
			crossBytes = 0;
			for (const host of hosts) {
				host.sentBytes = 0;
			}
		},
		async register({name, address, zone}) {
			await store.getClient(name).putRecord(RecordKind.Hosts, {name, version: 0, value: {name, peerAddress: address, availabilityZone: zone}}, 900);
		},
		stop() {
			for (const {mirror} of hosts) {
				void mirror.stop();
			}
		},
	};
}
