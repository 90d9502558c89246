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

/** One host of a fleet, with the number of bytes that it sent. */
export type MirrorHost = {
	readonly name: string;
	readonly address: string;
	readonly zone: string;
	readonly mirror: StoreMirror;
	/** Bytes of requests and responses that it sent to other hosts. */
	sentBytes: number;
};

/** The mirrors of a whole fleet on one virtual clock. */
export type MirrorFleet = {
	readonly clock: VirtualClock;
	readonly store: InMemoryMetadataStore;
	readonly network: PeerNetwork;
	readonly hosts: readonly MirrorHost[];
	/** Bytes that were sent from one availability zone to another. */
	readonly crossZoneBytes: number;
	/** Resets the counts of bytes to zero. */
	resetFigures(): void;
	/** Registers a host in the store. */
	register(host: MirrorHost): Promise<void>;
	/** Registers and starts all hosts, gives them time to receive a store update, and resets the counts. */
	start(): Promise<void>;
	/** Resolves with the milliseconds until each of `hosts` has this version of the configuration; undefined if one of them lacks it after 10 s. */
	awaitVersion(hosts: readonly MirrorHost[], version: number): Promise<number | undefined>;
	stop(): void;
};

/** Size of a fleet, and how many of its hosts the others know as seeds. */
export type MirrorFleetOptions = {
	readonly hostCount: number;
	readonly zoneCount: number;
	readonly seeds?: number;
};

/** Time from the start of the hosts to the first measurement, in milliseconds. */
const START_UP_MS = 4000;

const MAX_WAIT_MS = 10_000;
const CHECK_INTERVAL_MS = 20;

/** Creates a configuration with `routeCount` routes. */
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

/** Creates a fleet without starting it. */
export function createMirrorFleet({hostCount, zoneCount, seeds: seedCount = 0}: MirrorFleetOptions): MirrorFleet {
	const clock = createVirtualClock(undefined, {drainRounds: 2});
	const startedAt = clock.now();
	const store = createInMemoryMetadataStore(clock, createSeededRandom(1));
	const network = createPeerNetwork(clock);
	const hosts: MirrorHost[] = [];
	const byAddress = new Map<string, MirrorHost>();
	let crossZoneBytes = 0;

	const countSent = (from: MirrorHost, to: string, message: unknown) => {
		const bytes = pack(message).length;
		from.sentBytes += bytes;
		crossZoneBytes += byAddress.get(to)?.zone === from.zone ? 0 : bytes;
	};

	const names = Array.from({length: hostCount}, (_, i) => ({name: `entry-${i}`, address: `entry-${i}:7000`, zone: `zone-${i % zoneCount}`}));
	const seeds = names.slice(0, seedCount).map(({address}) => address);

	const countBytes = (peers: LivePeers, getHost: () => MirrorHost): LivePeers => ({
		...peers,
		async call(address, kind, req, timeoutMs) {
			countSent(getHost(), address, req);
			const res = await peers.call(address, kind, req, timeoutMs);
			const responder = byAddress.get(address);
			if (responder) {
				countSent(responder, getHost().address, res);
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
		const host: MirrorHost = {
			name, address, zone, mirror, sentBytes: 0,
		};
		hosts.push(host);
		byAddress.set(address, host);
	}

	const register = async ({name, address, zone}: MirrorHost) => {
		await store.getClient(name).putRecord(RecordKind.Hosts, {name, version: 0, value: {name, peerAddress: address, availabilityZone: zone}}, 900);
	};

	const resetFigures = () => {
		crossZoneBytes = 0;
		for (const host of hosts) {
			host.sentBytes = 0;
		}
	};

	return {
		clock,
		store,
		network,
		hosts,
		get crossZoneBytes() {
			return crossZoneBytes;
		},
		resetFigures,
		register,
		async start() {
			await clock.runUntil(Promise.all(hosts.map(async host => register(host))));
			for (const {mirror} of hosts) {
				void mirror.start();
			}

			await clock.advance(START_UP_MS);
			resetFigures();
		},
		async awaitVersion(observed, version) {
			const since = clock.now();
			while (observed.some(({mirror}) => mirror.state.routing?.version !== version)) {
				if (clock.now() - since > MAX_WAIT_MS) {
					return undefined;
				}

				await clock.advance(CHECK_INTERVAL_MS);
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
