import type {HostRecord} from '../leadership/leadership-record.js';
import {createSuccessorDistance, type SuccessorDistance} from '../leadership/successor-distance.js';
import type {LinkOpener} from '../links/endpoint-link.js';
import type {Log} from '../log/log.js';
import {isHostAlive} from '../membership/is-host-alive.js';
import type {HostTreeLayout} from '../mirror/host-tree.js';
import type {MetadataStore} from '../mirror/metadata-store.js';
import type {LivePeers} from '../peers/create-peers.js';
import type {RegisteredEndpoint} from '../routes/routing.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {countStatements} from './counted-opener.js';
import {createHostZones} from './host-zones.js';
import {measurePeers} from './measured-peers.js';
import {measureStore} from './measured-store.js';
import {RegionLayout, roundStoreRtt} from './region-layout.js';
import {createRegionLinks, type RegionLinks} from './region-links.js';
import {createRoundTrip, createRoundTrips, type RoundTrips} from './round-trips.js';
import {createTopology, type Topology} from './topology.js';

/** What a proxy knows and measures of the regions, and the wrappers of its connections that measure it. */
export type Regions = {
	readonly topology: Topology;
	/** Round-trip times to hosts by zone; `now` is elapsed time. */
	readonly roundTrips: RoundTrips;
	/** The links to other regions; `now` is elapsed time. */
	readonly links: Pick<RegionLinks, 'getCrossingShare' | 'isLost' | 'isAnyLost'>;
	/** Returns the availability zone of an endpoint; undefined if it is not registered. */
	getEndpointZone(endpointId: string): string | undefined;
	readonly layout: HostTreeLayout;
	readonly getSuccessorDistance: SuccessorDistance;
	/** Returns the items with those of this host's region first, otherwise in the order given. */
	preferNear<T extends {readonly availabilityZone: string}>(items: readonly T[]): readonly T[];
	/** Resolves with the rounded round-trip time to the store in milliseconds, which is measured by one call if no call was; undefined if the store does not respond. */
	measureStoreRtt(): Promise<number | undefined>;
	/** Counts the bytes of a call to the store, if the store lies in another region. */
	noteStoreBytes(bytes: number): void;
	readonly peers: LivePeers;
	readonly store: MetadataStore;
	readonly opener: LinkOpener;
};

/** What the regions of a proxy need. */
export type RegionsOptions = {
	readonly zoneRegions: ReadonlyMap<string, string>;
	readonly availabilityZone: string;
	readonly peers: LivePeers;
	readonly store: MetadataStore;
	readonly opener: LinkOpener;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
	getHosts(): readonly HostRecord[];
	getEndpoints(): readonly RegisteredEndpoint[];
	/** Counts bytes that were sent to another region, by purpose. */
	countBytes(purpose: string, bytes: number): void;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		regions: Regions;
	}
}

const STORE_TIMEOUT_MS = 900;

/** Timeout of a probe of the link to another region, in milliseconds. */
const PROBE_TIMEOUT_MS = 500;

/** The purpose under which bytes of statements and their answers are counted; bytes between hosts are counted under the kind of call. */
const STATEMENTS = 'statements';

/** The purpose under which bytes of calls to the store are counted. */
const STORE = 'store';

/** Creates the regions of a proxy. */
export function createRegions(options: RegionsOptions): Regions {
	const {elapsedClock, countBytes} = options;
	const log = options.log.withPrefix('regions: ');
	const topology = createTopology(options.zoneRegions, options.availabilityZone);
	const hostZones = createHostZones(options.getHosts);
	const roundTrips = createRoundTrips(topology);
	const storeRoundTrip = createRoundTrip();

	const links: RegionLinks = createRegionLinks({
		topology, hostZones, log, probe: async address => isHostAlive(peers, address, PROBE_TIMEOUT_MS),
	});

	const peers = measurePeers(options.peers, elapsedClock, {
		onCall(address) {
			const zone = hostZones.getZone(address);
			if (zone !== undefined && !topology.isNear(zone)) {
				links.noteCrossing(zone, elapsedClock.elapsed());
			}
		},
		onAnswer(address) {
			const zone = hostZones.getZone(address);
			if (zone !== undefined) {
				links.noteAnswer(zone, elapsedClock.elapsed());
			}
		},
		onSilence(address, isProof) {
			const zone = hostZones.getZone(address);
			if (zone !== undefined) {
				links.noteSilence(zone, address, isProof, elapsedClock.elapsed());
			}
		},
		onRoundTrip(address, ms) {
			const zone = hostZones.getZone(address);
			if (zone !== undefined) {
				roundTrips.note(zone, ms, elapsedClock.elapsed());
				links.noteRoundTrip(zone, ms, elapsedClock.elapsed());
			}
		},
	});
	options.peers.observeSent((address, kind, bytes) => {
		const zone = hostZones.getZone(address);
		if (zone !== undefined && !topology.isNear(zone)) {
			countBytes(kind, bytes);
		}
	});

	const store = measureStore(options.store, elapsedClock, ms => {
		storeRoundTrip.note(ms, elapsedClock.elapsed());
	});

	const getZone = (endpointId: string) => options.getEndpoints().find(({id}) => id === endpointId)?.availabilityZone;

	const getFarZone = (endpointId: string) => {
		const zone = getZone(endpointId);
		return zone === undefined || topology.isNear(zone) ? undefined : zone;
	};

	const opener = countStatements(options.opener, getFarZone, {
		onBytes(zone, bytes) {
			countBytes(STATEMENTS, bytes);
			links.noteCrossing(zone, elapsedClock.elapsed());
		},
		onAnswer(zone) {
			links.noteAnswer(zone, elapsedClock.elapsed());
		},
		onSilence(zone, endpointId) {
			links.noteSilence(zone, endpointId, false, elapsedClock.elapsed());
		},
	});

	log.info('the regions are known', {own: topology.ownRegion, zone: topology.ownZone, zones: Object.fromEntries(options.zoneRegions)});

	return {
		topology,
		roundTrips,
		links,
		getEndpointZone: getZone,
		layout: new RegionLayout(topology),
		getSuccessorDistance: createSuccessorDistance({topology, roundTrips, getZone}),
		preferNear: items => items.every(({availabilityZone}) => topology.isNear(availabilityZone))
			? items
			: [...items.filter(({availabilityZone}) => topology.isNear(availabilityZone)), ...items.filter(({availabilityZone}) => !topology.isNear(availabilityZone))],
		async measureStoreRtt() {
			if (storeRoundTrip.getMinMs(elapsedClock.elapsed()) === undefined) {
				await store.getRevision(STORE_TIMEOUT_MS).catch(() => undefined);
			}

			const ms = storeRoundTrip.getMinMs(elapsedClock.elapsed());
			return ms === undefined ? undefined : roundStoreRtt(ms);
		},
		noteStoreBytes(bytes) {
			const nearest = getNearestHost(options.getHosts());
			if (nearest && !topology.isNear(nearest.availabilityZone)) {
				countBytes(STORE, bytes);
			}
		},
		peers,
		store,
		opener,
	};
}

/** Returns the host that registered the smallest round-trip time to the store; undefined if none did. */
function getNearestHost(hosts: readonly HostRecord[]): HostRecord | undefined {
	let nearest: HostRecord | undefined;
	for (const host of hosts) {
		if (host.storeRttMs !== undefined && !host.gone && host.storeRttMs < (nearest?.storeRttMs ?? Number.POSITIVE_INFINITY)) {
			nearest = host;
		}
	}

	return nearest;
}
