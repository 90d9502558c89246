import {pack} from 'msgpackr';
import {createSilentLog} from '../../log/silent-log.js';
import {RecordKind} from '../../mirror/metadata-store.js';
import type {HostRecord} from '../../leadership/leadership-record.js';
import {NameOrderLayout} from '../../mirror/host-tree.js';
import {createStoreMirror, type StoreMirror} from '../../mirror/store-mirror.js';
import type {LivePeers} from '../../peers/create-peers.js';
import {createCallError} from '../../peers/peer-errors.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import {RegionLayout} from '../../regions/region-layout.js';
import {createTopology} from '../../regions/topology.js';
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
	/** Time until which its link is busy with what it sends. */
	busyUntil: number;
};

/** The mirrors of a whole fleet on one virtual clock. */
export type MirrorFleet = {
	readonly clock: VirtualClock;
	readonly store: InMemoryMetadataStore;
	readonly network: PeerNetwork;
	readonly hosts: readonly MirrorHost[];
	/** Bytes that were sent from one availability zone to another. */
	readonly crossZoneBytes: number;
	/** The same from one region to another; 0 without regions. */
	readonly crossRegionBytes: number;
	/** Number of contents that were sent from one region to another. */
	readonly crossings: number;
	/** Returns the hosts that lead in the tree: the root and, by regions, the one that polls the root from the other region; with the earlier tree, the root and each zone's first host of the other region. */
	getHeads(): readonly MirrorHost[];
	/** Returns whether the host at that address is the root of the tree. */
	isRoot(address: string): boolean;
	/** Resets the counts of bytes to zero. */
	resetFigures(): void;
	/** Registers a host in the store. */
	register(host: MirrorHost): Promise<void>;
	/** Registers and starts all hosts, gives them time to receive a store update, and resets the counts. */
	start(): Promise<void>;
	/** Resolves with the milliseconds until each of `hosts` has this version of the configuration; undefined if one of them lacks it after 30 s. */
	awaitVersion(hosts: readonly MirrorHost[], version: number): Promise<number | undefined>;
	stop(): void;
};

/** Size of a fleet, and how many of its hosts the others know as seeds. */
export type MirrorFleetOptions = {
	readonly hostCount: number;
	readonly zoneCount: number;
	readonly seeds?: number;
	readonly regional?: RegionalFleet;
};

/** A fleet in two regions whose hosts have links of limited width. The store lies in the region of the last zones. */
export type RegionalFleet = {
	/** Whether the hosts take account of the regions. */
	readonly isInForce: boolean;
	/** Upload width of a small host, in megabits per second. */
	readonly smallMbits: number;
};

/** Upload width of the two large hosts of each zone, in megabits per second. */
const LARGE_MBITS = 140;

/** One-way latency between the regions beyond that between hosts, in milliseconds. */
const REGION_LATENCY_MS = 7;

/** Number of large hosts in each zone. */
const LARGE_IN_ZONE = 2;

/** Time from the start of the hosts to the first measurement, in milliseconds. */
const START_UP_MS = 4000;

const MAX_WAIT_MS = 30_000;

/** Size from which a message counts as one with contents, in bytes. */
const CONTENTS_BYTES = 600;

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
export function createMirrorFleet({hostCount, zoneCount, seeds: seedCount = 0, regional}: MirrorFleetOptions): MirrorFleet {
	const clock = createVirtualClock(undefined, {drainRounds: 2});
	const startedAt = clock.now();
	const store = createInMemoryMetadataStore(clock, createSeededRandom(1));
	const network = createPeerNetwork(clock);
	const hosts: MirrorHost[] = [];
	const byAddress = new Map<string, MirrorHost>();
	let crossZoneBytes = 0;
	let crossRegionBytes = 0;
	let crossings = 0;

	const zoneRegions = new Map(Array.from({length: zoneCount}, (_, i) => [`zone-${i}`, i < zoneCount / 2 ? 'east' : 'west']));
	const isSameRegion = (left: string, right: string) => !regional || zoneRegions.get(left) === zoneRegions.get(right);
	const getCapacity = (index: number) => isLarge(index) ? 1.35 : 0.324;
	const isLarge = (index: number) => index >= hostCount - (LARGE_IN_ZONE * zoneCount);

	const getLayout = (zone: string) => regional?.isInForce ? new RegionLayout(createTopology(zoneRegions, zone)) : new NameOrderLayout();

	const countSent = (from: MirrorHost, to: string, message: unknown) => {
		const bytes = pack(message).length;
		from.sentBytes += bytes;
		const toZone = byAddress.get(to)?.zone ?? from.zone;
		crossZoneBytes += toZone === from.zone ? 0 : bytes;
		if (!isSameRegion(toZone, from.zone)) {
			crossRegionBytes += bytes;
			crossings += bytes > CONTENTS_BYTES ? 1 : 0;
		}

		return bytes;
	};

	/** Delays a response by its transfer on the sender's link, behind what that host sends already, and by the way between regions; rejects where its call times out meanwhile. */
	const transfer = async (responder: MirrorHost, to: MirrorHost, bytes: number, deadlineAt: number) => {
		const width = isLarge(hosts.indexOf(responder)) ? LARGE_MBITS : regional!.smallMbits;
		responder.busyUntil = Math.max(responder.busyUntil, clock.now()) + (bytes * 8 / (width * 1000));
		const arrivesAt = responder.busyUntil + (isSameRegion(responder.zone, to.zone) ? 0 : 2 * REGION_LATENCY_MS);
		await clock.sleep(Math.max(0, Math.min(arrivesAt, deadlineAt) - clock.now()));
		if (arrivesAt > deadlineAt) {
			throw createCallError(responder.address, 'transfer', 'the timeout passed', true);
		}
	};

	const names = Array.from({length: hostCount}, (_, i) => ({name: `entry-${i}`, address: `entry-${i}:7000`, zone: `zone-${i % zoneCount}`}));
	const seeds = names.slice(0, seedCount).map(({address}) => address);

	const countBytes = (peers: LivePeers, getHost: () => MirrorHost): LivePeers => ({
		...peers,
		async call(address, kind, req, timeoutMs) {
			countSent(getHost(), address, req);
			const deadlineAt = clock.now() + timeoutMs;
			const res = await peers.call(address, kind, req, timeoutMs);
			const responder = byAddress.get(address);
			if (responder) {
				const bytes = countSent(responder, getHost().address, res);
				if (regional) {
					await transfer(responder, getHost(), bytes, deadlineAt);
				}
			}

			return res;
		},
	});

	for (const [i, {name, address, zone}] of names.entries()) {
		const capacity = regional ? getCapacity(i) : undefined;
		const peers = countBytes(network.addHost(address), () => host);
		const mirror = createStoreMirror({
			store: store.getClient(name),
			peers,
			clock,
			elapsedClock: {elapsed: () => clock.now() - startedAt},
			log: createSilentLog(),
			host: {
				name, peerAddress: address, availabilityZone: zone, capacity,
			},
			layout: getLayout(zone),
			seeds,
			getChanging: () => [],
			getUnfenced: () => [],
			noteUnfenced() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		});
		const host: MirrorHost = {
			name, address, zone, mirror, sentBytes: 0, busyUntil: 0,
		};
		hosts.push(host);
		byAddress.set(address, host);
	}

	const getRecord = (host: MirrorHost): HostRecord => ({
		name: host.name,
		peerAddress: host.address,
		availabilityZone: host.zone,
		...(regional?.isInForce && {capacity: getCapacity(hosts.indexOf(host)), storeRttMs: zoneRegions.get(host.zone) === 'west' ? 5 : 20}),
	});

	const register = async (host: MirrorHost) => {
		await store.getClient(host.name).putRecord(RecordKind.Hosts, {name: host.name, version: 0, value: getRecord(host)}, 900);
	};

	const resetFigures = () => {
		crossZoneBytes = 0;
		crossRegionBytes = 0;
		crossings = 0;
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
		get crossRegionBytes() {
			return crossRegionBytes;
		},
		get crossings() {
			return crossings;
		},
		getHeads() {
			const records = hosts.map(host => getRecord(host));
			const tree = getLayout('zone-0').createTree(records);
			return hosts.filter((_, i) => {
				const parent = tree.getParent(records[i]!);
				return !parent || !isSameRegion(parent.availabilityZone, records[i]!.availabilityZone);
			});
		},
		isRoot: address => getLayout('zone-0').createTree(hosts.map(host => getRecord(host))).getParent(getRecord(byAddress.get(address)!)) === undefined,
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
