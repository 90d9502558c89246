import * as z from 'zod';
import {
	ReadPolicy, type RegisteredEndpoint, type Route, type Routing,
} from '../routes/routing.js';
import {formatEndpointId} from './endpoint-identity.js';
import {networkAddressSchema} from './network-address.js';
import {decodeWorkspaces} from './workspace-schema.js';

/** Validates the name of an item of a list, whatever else it holds. */
export const namedObjectSchema = z.object({meta: z.object({name: z.string()})});

/** Validates an object of the store; `spec` holds the content that its writer put there. */
export const storeObjectSchema = z.object({
	meta: z.object({
		name: z.string(),
		/** Store-wide revision of the object's last change, not a count of its own changes. */
		modRevision: z.int(),
	}),
	spec: z.unknown(),
});

/** An object of the store, decoded. */
export type StoreObject = z.infer<typeof storeObjectSchema>;

/** Validates a page of a list. The items are validated one by one later, so that one unreadable item does not hide the others. */
export const storeListSchema = z.object({
	items: z.array(z.unknown()),
	/** Whether another page follows, which is requested with the last name of this one. */
	hasMore: z.boolean(),
	/** Revision of the whole store, not of the kind. */
	storeRevision: z.int(),
});

/** How long a transaction may be idle, in milliseconds, if the configuration does not say; the platform's examples use the same value. */
const DEFAULT_IDLE_TRANSACTION_MS = 3000;

const POLICIES = new Map<string, ReadPolicy>([
	['primary', ReadPolicy.Primary],
	['bounded', ReadPolicy.Bounded],
	// The staleness bound applies to this policy too, though the platform's name does not say so.
	['read_your_writes', ReadPolicy.OwnWrites],
]);

/** A name that is a field of messages and part of paths. Blanks separate fields, and ends of lines end messages, so it contains none. */
const FIELD = /^[!-~]{1,200}$/v;

const fieldSchema = z.string().regex(FIELD);

/** The longest time that a timer can wait for, in milliseconds; a longer one would end at once. */
const MAX_TIMER_MS = (2 ** 31) - 1;

const timeoutSchema = z.number().positive().max(MAX_TIMER_MS);

/** Bounds far above what any deployment configures: a number beyond them is an error of its writer, and some would make sums, timers or lists of that length fail. */
const MAX_PRIORITY = 1000;
/** Connections that one server accepts. */
const MAX_CONNECTIONS = 1_000_000;
const MAX_SYNC_REPLICAS = 100;
/** Statements that one server runs at once. */
const MAX_SLOTS = 100_000;

const routeSchema = z.object({
	name: z.string(),
	/** The database that callers name; it is not a host, despite the name. */
	host: z.string(),
	/** The read policy, not the kind of database. */
	type: z.string(),
	/** The timeout of one statement, not of the whole operation. */
	timeoutMs: z.number(),
	targetLatencyMs: z.number().default(0),
	priority: z.number().default(0),
	/** The database group. */
	backend: z.string(),
	maxStalenessMs: z.number().default(0),
	/** Whether callers without a key are served too. */
	allowAnonymous: z.boolean().default(false),
});

const routesSchema = z.array(routeSchema);

const isWithin = (value: number, max: number) => value >= 0 && value <= max;

/** Whether a route's names and numbers can be used. Checked outside of the schema, where a large configuration would take three times as long. */
function isUsableRoute({host, backend, timeoutMs, targetLatencyMs, maxStalenessMs, priority}: z.infer<typeof routeSchema>): boolean {
	const isInTime = timeoutMs > 0 && [timeoutMs, targetLatencyMs, maxStalenessMs].every(ms => isWithin(ms, MAX_TIMER_MS));
	return FIELD.test(host) && FIELD.test(backend) && isInTime && isWithin(priority, MAX_PRIORITY);
}

/** A database group. */
const groupSchema = z.object({
	name: fieldSchema,
	/** The limit of each server, for the connections of all callers together. */
	maxConnections: z.number().nonnegative().max(MAX_CONNECTIONS),
	/** How many replicas must have received a commit before the primary acknowledges it; it does not wait for them to apply it. */
	syncReplicas: z.int().nonnegative().max(MAX_SYNC_REPLICAS).default(0),
});

const groupsSchema = z.array(groupSchema);

const limitsSchema = z.object({txIdleMs: timeoutSchema.default(DEFAULT_IDLE_TRANSACTION_MS)});

/** The frame of a configuration. Its routes, groups and workspaces are decoded one by one, so that one unreadable entry does not hide the others. */
const routingSchema = z.object({
	revision: z.int().nonnegative(),
	routes: z.array(z.unknown()),
	/** The groups. */
	backends: z.array(z.unknown()),
	/** The workspaces; omitted if callers have no keys. */
	tenants: z.array(z.unknown()).default([]),
	limits: z.unknown(),
});

/** The kinds under which unusable entries of a configuration are reported. */
const ConfigurationEntry = {
	Route: 'route',
	Group: 'group',
	Workspace: 'workspace',
	Limits: 'limits',
} as const;

/** The entry that a server writes about itself. An entry that lacks a field, or has one of another type, was not written by a server. */
const endpointSchema = z.object({
	/** The database group that it serves. */
	backend: fieldSchema,
	address: networkAddressSchema,
	zone: z.string(),
	/** The version of its software, not of the entry. */
	revision: z.string(),
	/** How many statements it runs at once, not how many connections it accepts. */
	capacity: z.int().positive().max(MAX_SLOTS),
	state: z.enum(['ready', 'draining']),
	coldRemainingMs: z.number(),
	/** Increases with each heartbeat. */
	sequence: z.int(),
	/** The role that the server reports for itself. */
	dbRole: z.enum(['primary', 'replica']),
	/** Unix time of its start, in milliseconds; omitted by servers that get a new id with each start. */
	born: z.int().nonnegative().optional(),
});

/**
 * Decodes the configuration. An entry that cannot be decoded, or that names what an earlier one does, is passed to `onUnusable` with its kind and omitted. Returns undefined if the
 * configuration as a whole is none; the version in force then remains.
 */
export function decodeRouting(spec: unknown, onUnusable: (kind: string, entry: unknown) => void): Routing | undefined {
	const parsed = routingSchema.safeParse(spec);
	if (!parsed.success) {
		return undefined;
	}

	const {revision, routes, backends, tenants} = parsed.data;
	const hasWorkspaces = tenants.length > 0;
	const limits = limitsSchema.safeParse(parsed.data.limits);
	if (!limits.success) {
		onUnusable(ConfigurationEntry.Limits, parsed.data.limits);
	}

	const decodedRoutes = decodeByName(routes, routesSchema, route => isUsableRoute(route) ? route.host : undefined, entry => {
		onUnusable(ConfigurationEntry.Route, entry);
	});
	const decodedGroups = decodeByName(backends, groupsSchema, ({name}) => name, entry => {
		onUnusable(ConfigurationEntry.Group, entry);
	});
	return {
		version: revision,
		routes: new Map(decodedRoutes.map(route => [route.host, decodeRoute(route, hasWorkspaces)])),
		groups: new Map(decodedGroups.map(({name, maxConnections, syncReplicas}) => [name, {name, maxConnections, ...(syncReplicas > 0 && {syncReplicas})}])),
		workspaces: decodeWorkspaces(tenants, entry => {
			onUnusable(ConfigurationEntry.Workspace, entry);
		}),
		idleTransactionMs: limits.data?.txIdleMs ?? DEFAULT_IDLE_TRANSACTION_MS,
	};
}

/**
 * Decodes entries, one by one where one of them cannot be decoded. Of several with one name only the first counts.
 * @param getName Returns the name of an entry; undefined where it cannot be used.
 */
function decodeByName<T>(entries: readonly unknown[], schema: z.ZodArray<z.ZodType<T>>, getName: (entry: T) => string | undefined, onUnusable: (entry: unknown) => void): readonly T[] {
	const all = schema.safeParse(entries).data ?? entries.map(entry => schema.element.safeParse(entry).data);
	const decoded = new Map<string, T>();
	for (const [i, entry] of all.entries()) {
		const name = entry && getName(entry);
		if (entry === undefined || name === undefined || decoded.has(name)) {
			onUnusable(entries[i]);
		} else {
			decoded.set(name, entry);
		}
	}

	return [...decoded.values()];
}

function decodeRoute(route: z.infer<typeof routeSchema>, hasWorkspaces: boolean): Route {
	return {
		name: route.name,
		database: route.host,
		group: route.backend,
		// An unknown policy is replaced by the strictest one, under which no read is stale.
		policy: POLICIES.get(route.type) ?? ReadPolicy.Primary,
		maxReadAgeMs: route.maxStalenessMs,
		statementTimeoutMs: route.timeoutMs,
		targetLatencyMs: route.targetLatencyMs,
		priority: route.priority,
		// Without workspaces there are no keys that a caller could present.
		needsKey: hasWorkspaces && !route.allowAnonymous,
	};
}

/** Decodes a server's entry; returns undefined if it is not a valid entry of a server. */
export function decodeEndpoint({meta, spec}: StoreObject): RegisteredEndpoint | undefined {
	const id = fieldSchema.safeParse(meta.name);
	const entry = endpointSchema.safeParse(spec);
	if (!id.success || !entry.success) {
		return undefined;
	}

	const {backend, address, zone, capacity, state, dbRole, born} = entry.data;
	return {
		id: formatEndpointId(id.data, born),
		server: id.data,
		group: backend,
		address,
		availabilityZone: zone,
		slots: capacity,
		leaving: state === 'draining',
		claimsLead: dbRole === 'primary',
	};
}
