import type {Log} from '../log/log.js';
import {formatPlaced, getGeneration} from '../mirror/store-generation.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import type {RegisteredEndpoint} from '../routes/routing.js';
import type {LogPosition} from '../terms/log-position.js';
import type {Clock} from '../time/clock.js';
import {createEndpointPool} from './create-endpoint-pool.js';
import type {EndpointPool} from './endpoint-pool.js';
import type {LinkOpener} from './endpoint-link.js';
import type {LinkLimits} from './link-budget.js';

/** An endpoint that may be connected to. */
export type KnownEndpoint = {
	readonly entry: RegisteredEndpoint;
	/** What requests take connections from, this host's own or borrowed ones. */
	readonly pool: EndpointPool;
	/** This host's own connections. */
	readonly ownPool: EndpointPool;
};

/** The endpoints that are registered, each with its connections. */
export type EndpointDirectory = {
	get(endpointId: string): KnownEndpoint | undefined;
	list(group: string): readonly KnownEndpoint[];
	/** Takes over what the mirror holds at the steady time `now`. */
	update(now: number): void;
	/** Closes all connections. */
	close(): void;
};

/** What the directory needs. */
export type EndpointDirectoryOptions = {
	readonly mirror: StoreMirror;
	readonly opener: LinkOpener;
	readonly clock: Clock;
	readonly log: Log;
	/** How many hosts share the endpoint's connections, and whether this host is one of them. */
	getSharing(entry: RegisteredEndpoint): Pick<LinkLimits, 'hosts' | 'keepsOwn'>;
	/** Makes the pool that requests use out of this host's own connections. */
	sharePool(entry: RegisteredEndpoint, ownPool: EndpointPool): EndpointPool;
	/** What an endpoint holds at least in this life, as far as this host can tell. */
	getLeastPosition(entry: RegisteredEndpoint): LogPosition | undefined;
};

/**
 * An endpoint whose entry is missing for longer is gone, in milliseconds. Entries that lapsed while the platform's store was away are back
 * within two seconds of its return.
 */
export const MISSING_AFTER_MS = 2500;

/** Without a new list it is looked so often who is missing for too long and what is idle, in milliseconds: a tenth of both times. */
const UPDATE_EVERY_MS = 250;

/** Endpoints that come at once and are still told one by one. */
const MOST_TOLD_APART = 3;

/** Used where a group's configuration is not known yet. */
const DEFAULT_MAX_CONNECTIONS = 8;

type Kept = KnownEndpoint & {
	missingSince?: number;
	/** Generation of the store that last showed it as leaving. */
	readonly leavingIn?: number;
};

/** Creates an empty directory. */
export function createEndpointDirectory({mirror, opener, clock, log: parentLog, getSharing, sharePool, getLeastPosition}: EndpointDirectoryOptions): EndpointDirectory {
	const log = parentLog.part('endpoints: ');
	const kept = new Map<string, Kept>();
	/** Endpoints by group, as far as they were asked for since the last change: each read asks, and a fleet has thousands of endpoints. */
	let byGroup = new Map<string, readonly KnownEndpoint[]>();
	let updatedFrom: readonly RegisteredEndpoint[] | undefined;
	let updatedAt = Number.NEGATIVE_INFINITY;

	const add = (entry: RegisteredEndpoint) => {
		const ownPool = createEndpointPool({
			target: {address: entry.address, group: entry.group, endpointId: entry.id},
			opener,
			getLeastPosition: () => getLeastPosition(entry),
			clock,
			log,
			getLimits: () => ({
				maxConnections: mirror.state.routing?.groups.get(entry.group)?.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
				...getSharing(entry),
			}),
		});
		kept.set(entry.id, {
			entry, ownPool, pool: sharePool(entry, ownPool), leavingIn: entry.leaving ? getGeneration(mirror.state.revision) : undefined,
		});
	};

	/** Says what was added: in one line where it was many at once, since each host of a fleet says it. */
	const tellAdded = (added: readonly RegisteredEndpoint[]) => {
		if (added.length > MOST_TOLD_APART) {
			log.info('endpoints are registered', {
				endpoints: added.length, groups: new Set(added.map(({group}) => group)).size, leaving: added.filter(({leaving}) => leaving).length, revision: formatPlaced(mirror.state.revision),
			});
			return;
		}

		for (const entry of added) {
			log.info('an endpoint is registered', {
				endpoint: entry.id, group: entry.group, zone: entry.availabilityZone, leaving: entry.leaving,
			});
		}
	};

	/**
	 * Takes an entry over; true where it is new.
	 *
	 * Guards against an endpoint that gets new work again because the store came back from a copy without its word that it is leaving, which it writes again only later.
	 */
	const noteEntry = (entry: RegisteredEndpoint) => {
		const known = kept.get(entry.id);
		if (!known) {
			add(entry);
			return true;
		}

		if (entry.leaving && !known.entry.leaving) {
			log.info('an endpoint is leaving', {endpoint: entry.id, group: entry.group, revision: formatPlaced(mirror.state.revision)});
		}

		const generation = getGeneration(mirror.state.revision);
		const leavingIn = entry.leaving ? generation : known.leavingIn;
		const isLost = leavingIn !== undefined && leavingIn < generation;
		kept.set(entry.id, {
			entry: isLost ? {...entry, leaving: true} : entry, ownPool: known.ownPool, pool: known.pool, leavingIn,
		});
		return false;
	};

	/** A life that another one has followed is over; what is just missing may be back. */
	const noteMissing = (known: Kept, now: number, isFollowed: boolean) => {
		known.missingSince ??= now;
		if (isFollowed || now - known.missingSince > MISSING_AFTER_MS) {
			known.pool.retire();
			kept.delete(known.entry.id);
			log.info('an endpoint is gone', {
				endpoint: known.entry.id, group: known.entry.group, missingMs: Math.round(now - known.missingSince), isFollowed,
			});
		}
	};

	return {
		get: endpointId => kept.get(endpointId),
		list(group) {
			const listed = byGroup.get(group) ?? [...kept.values()].filter(({entry}) => entry.group === group);
			byGroup.set(group, listed);
			return listed;
		},
		update(now) {
			if (mirror.state.endpoints === updatedFrom && now - updatedAt < UPDATE_EVERY_MS) {
				return;
			}

			updatedFrom = mirror.state.endpoints;
			updatedAt = now;
			byGroup = new Map();
			const listed = new Set<string>();
			const servers = new Set<string>();
			const added: RegisteredEndpoint[] = [];
			for (const entry of mirror.state.endpoints) {
				listed.add(entry.id);
				servers.add(entry.server);
				if (noteEntry(entry)) {
					added.push(entry);
				}
			}

			tellAdded(added);

			for (const known of kept.values()) {
				known.pool.keep();
				if (!listed.has(known.entry.id)) {
					noteMissing(known, now, servers.has(known.entry.server));
				}
			}
		},
		close() {
			for (const {pool} of kept.values()) {
				pool.retire();
			}
		},
	};
}
