import type {Log} from '../log/log.js';
import {createLeavingEndpoints} from '../membership/leaving-endpoints.js';
import {formatQualified, getGeneration} from '../mirror/store-generation.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import type {RegisteredEndpoint} from '../routes/routing.js';
import type {LogPosition} from '../terms/log-position.js';
import type {Clock} from '../time/clock.js';
import type {CongestionWindow} from './congestion-window.js';
import type {ConnectionPolicy} from './connection-policy.js';
import {createEndpointPool} from './create-endpoint-pool.js';
import type {EndpointPool} from './endpoint-pool.js';
import type {LinkOpener} from './endpoint-link.js';
import type {LinkLimits} from './link-budget.js';
import type {SessionMetrics} from './session-metrics.js';
import type {WaiterOrder} from './waiter-order.js';

/** An endpoint that may be connected to. */
export type KnownEndpoint = {
	readonly entry: RegisteredEndpoint;
	/** The pool from which requests acquire connections, this host's own or those of pool hosts. */
	readonly pool: EndpointPool;
	/** The pool of this host's own connections. */
	readonly ownPool: EndpointPool;
};

/** The registered endpoints, each with its connections. */
export type EndpointDirectory = {
	get(endpointId: string): KnownEndpoint | undefined;
	list(group: string): readonly KnownEndpoint[];
	/** Whether an endpoint may be given new work at the elapsed time `now`: it is not leaving, or has announced that too recently to end soon. */
	mayTakeWork(endpointId: string, now: number): boolean;
	/** Applies the mirror's current state at the steady time `now`. */
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
	/** Time from the announcement of an endpoint that it is leaving until it gets no new work, in milliseconds; unlimited without it. */
	readonly maxLeavingMs?: number;
	readonly sessionMetrics?: SessionMetrics;
	/** Returns how many hosts share the endpoint's connections, and whether this host is one of them. */
	getSharing(entry: RegisteredEndpoint): Pick<LinkLimits, 'hosts' | 'isPoolHost'>;
	/** Creates the window that bounds what this host has in flight at the endpoint; by default the pool's own. */
	createWindow?(entry: RegisteredEndpoint): CongestionWindow;
	/** Creates the pool that requests use on top of this host's own connections. */
	sharePool(entry: RegisteredEndpoint, ownPool: EndpointPool): EndpointPool;
	/** Creates the order in which the requests of one pool wait; that of arrival where it is undefined. */
	createOrder?(): WaiterOrder;
	/** Creates the policy by which this host's connections to an endpoint are opened and closed; the pool's default where it is undefined. */
	createConnectionPolicy?(entry: RegisteredEndpoint): ConnectionPolicy;
	/** Returns the position that an endpoint's log holds at least in this incarnation, as far as this host knows. */
	getMinPosition(entry: RegisteredEndpoint): LogPosition | undefined;
};

/**
 * An endpoint whose entry is missing for longer than this is removed, in milliseconds. Entries that lapsed while the platform's store was unavailable are
 * back within two seconds after it is available again.
 */
export const MISSING_AFTER_MS = 2500;

/** Interval at which missing endpoints and idle connections are checked without a new list, in milliseconds: a tenth of the time after which a missing endpoint is removed. */
const UPDATE_INTERVAL_MS = 250;

/** Time by which the last new work is sent to a leaving endpoint before it may end, in milliseconds: it takes a few round trips, and may wait for the sending host. */
const LAST_WORK_MARGIN_MS = 250;

/** Maximum number of endpoints in one update that are each logged in a line of their own. */
const MAX_LOGGED_INDIVIDUALLY = 3;

/** Connection limit that is used until a group's configuration is known. */
const DEFAULT_MAX_CONNECTIONS = 8;

type TrackedEndpoint = KnownEndpoint & {
	missingSince?: number;
	/** Elapsed time until which the store has certainly not had the endpoint's announcement that it is leaving; undefined where it was never seen to serve. */
	readonly servingAt?: number;
	/** Store generation that last showed the endpoint as leaving. */
	readonly leavingGeneration?: number;
};

/** Creates an empty directory. */
export function createEndpointDirectory(options: EndpointDirectoryOptions): EndpointDirectory {
	const {mirror, opener, clock, log: parentLog, getSharing, createWindow, sharePool, createConnectionPolicy, getMinPosition} = options;
	const log = parentLog.withPrefix('endpoints: ');
	const tracked = new Map<string, TrackedEndpoint>();
	const leavingEndpoints = createLeavingEndpoints((options.maxLeavingMs ?? Number.POSITIVE_INFINITY) - LAST_WORK_MARGIN_MS);
	/** Cache of endpoints by group, filled on demand since the last update: each read asks for a list, and a fleet has thousands of endpoints. */
	let byGroup = new Map<string, readonly KnownEndpoint[]>();
	let updatedFrom: readonly RegisteredEndpoint[] | undefined;
	let updatedAt = Number.NEGATIVE_INFINITY;

	const add = (entry: RegisteredEndpoint) => {
		const ownPool = createEndpointPool({
			target: {address: entry.address, group: entry.group, endpointId: entry.id},
			opener,
			getMinPosition: () => getMinPosition(entry),
			clock,
			log,
			window: createWindow?.(entry),
			order: options.createOrder?.(),
			connections: createConnectionPolicy?.(entry),
			sessionMetrics: options.sessionMetrics,
			waitsForReplicas: () => (mirror.state.routing?.groups.get(entry.group)?.syncReplicas ?? 0) > 0,
			getLimits: () => ({
				maxConnections: mirror.state.routing?.groups.get(entry.group)?.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
				...getSharing(entry),
			}),
		});
		tracked.set(entry.id, {
			entry, ownPool, pool: sharePool(entry, ownPool), leavingGeneration: entry.leaving ? getGeneration(mirror.state.revision) : undefined, servingAt: noteLeaving(entry),
		});
	};

	/** Logs the endpoints that were added, in one line where there are many at once, since each host of a fleet logs them. */
	const logAdded = (added: readonly RegisteredEndpoint[]) => {
		if (added.length > MAX_LOGGED_INDIVIDUALLY) {
			log.info('endpoints are registered', {
				endpoints: added.length, groups: new Set(added.map(({group}) => group)).size, leaving: added.filter(({leaving}) => leaving).length, revision: formatQualified(mirror.state.revision),
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
	 * Counts the time since an endpoint's announcement from the last confirmation of a copy that does not have it. Guards against an end that comes too late where
	 * the announcement reaches this host late.
	 */
	const noteLeaving = ({id, leaving}: RegisteredEndpoint) => {
		const servingAt = leaving ? tracked.get(id)?.servingAt : mirror.partsConfirmedAt;
		leavingEndpoints.note(id, leaving, servingAt ?? Number.NEGATIVE_INFINITY);
		return servingAt;
	};

	/**
	 * Adds or updates an entry; returns whether it is new.
	 *
	 * Guards against an endpoint that gets new work again after a store restore: the backup may lack its notice that it is leaving, which it writes again only later.
	 */
	const noteEntry = (entry: RegisteredEndpoint) => {
		const known = tracked.get(entry.id);
		if (!known) {
			add(entry);
			return true;
		}

		if (entry.leaving && !known.entry.leaving) {
			log.info('an endpoint is leaving', {endpoint: entry.id, group: entry.group, revision: formatQualified(mirror.state.revision)});
		}

		const generation = getGeneration(mirror.state.revision);
		const leavingGeneration = entry.leaving ? generation : known.leavingGeneration;
		const isNoticeLost = leavingGeneration !== undefined && leavingGeneration < generation;
		const current = isNoticeLost ? {...entry, leaving: true} : entry;
		tracked.set(entry.id, {
			entry: current, ownPool: known.ownPool, pool: known.pool, leavingGeneration, servingAt: noteLeaving(current),
		});
		return false;
	};

	/** Removes a missing entry: at once where a later incarnation of the endpoint is listed, else only after a while, since the entry may come back. */
	const noteMissing = (known: TrackedEndpoint, now: number, isFollowed: boolean) => {
		known.missingSince ??= now;
		if (isFollowed || now - known.missingSince > MISSING_AFTER_MS) {
			known.pool.retire();
			tracked.delete(known.entry.id);
			leavingEndpoints.forget(known.entry.id);
			log.info('an endpoint was removed', {
				endpoint: known.entry.id, group: known.entry.group, missingMs: Math.round(now - known.missingSince), isFollowed,
			});
		}
	};

	return {
		get: endpointId => tracked.get(endpointId),
		list(group) {
			const listed = byGroup.get(group) ?? [...tracked.values()].filter(({entry}) => entry.group === group);
			byGroup.set(group, listed);
			return listed;
		},
		mayTakeWork: (endpointId, now) => !leavingEndpoints.isGraceOver(endpointId, now),
		update(now) {
			if (mirror.state.endpoints === updatedFrom && now - updatedAt < UPDATE_INTERVAL_MS) {
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

			logAdded(added);

			for (const known of tracked.values()) {
				known.pool.maintain();
				if (!listed.has(known.entry.id)) {
					noteMissing(known, now, servers.has(known.entry.server));
				}
			}
		},
		close() {
			for (const {pool} of tracked.values()) {
				pool.retire();
			}
		},
	};
}
