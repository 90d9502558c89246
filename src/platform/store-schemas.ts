import * as z from 'zod';
import {
	ReadPolicy, type RegisteredEndpoint, type Route, type Routing,
} from '../routes/routing.js';
import {formatEndpointId} from './endpoint-identity.js';
import {decodeWorkspaces} from './workspace-schema.js';

/** Checks an object of the store; `spec` holds what its writer put there. */
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

/** Checks a page of a list; its items are checked one by one, since one that cannot be read must not hide the others. */
export const storeListSchema = z.object({
	items: z.array(z.unknown()),
	/** Another page follows, to be asked for after the last name of this one. */
	hasMore: z.boolean(),
	/** Revision of the whole store, not of the kind. */
	storeRevision: z.int(),
});

/** Bound of idle transactions, in milliseconds, where a configuration states none; the figure that the platform's examples have. */
const DEFAULT_IDLE_TRANSACTION_MS = 3000;

const POLICIES: Readonly<Record<string, ReadPolicy>> = {
	primary: ReadPolicy.Primary,
	bounded: ReadPolicy.Bounded,
	// The platform's name leaves out that the staleness bound holds as well.
	read_your_writes: ReadPolicy.OwnWrites,
};

const routeSchema = z.object({
	name: z.string(),
	/** The database that callers name, though it is spelled as a host. */
	host: z.string(),
	/** The read policy, not the kind of database. */
	type: z.string(),
	/** Bounds one statement, not the operation. */
	timeoutMs: z.number(),
	targetLatencyMs: z.number().default(0),
	priority: z.number().default(0),
	/** The database group. */
	backend: z.string(),
	maxStalenessMs: z.number().default(0),
	/** Callers without a key are served too. */
	allowAnonymous: z.boolean().default(false),
});

const routingSchema = z.object({
	revision: z.int(),
	routes: z.array(routeSchema),
	backends: z.array(z.object({
		name: z.string(),
		/** Of each server, from all callers together. */
		maxConnections: z.number(),
	})),
	/** Read one by one, since one that cannot be read must not hide the others; left out where callers have no keys. */
	tenants: z.array(z.unknown()).default([]),
	limits: z.object({txIdleMs: z.number().default(DEFAULT_IDLE_TRANSACTION_MS)}),
});

/** What a server says of itself. Whatever lacks a field, or has one of another type, was written by something else than a server. */
const endpointSchema = z.object({
	/** The group that it serves. */
	backend: z.string().min(1),
	address: z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/v),
	zone: z.string(),
	/** Version of its software, not of the entry. */
	revision: z.string(),
	/** Statements that it runs at once, not its connections. */
	capacity: z.int().positive(),
	state: z.enum(['ready', 'draining']),
	coldRemainingMs: z.number(),
	/** Grows with each heartbeat. */
	sequence: z.int(),
	/** How the server sees itself. */
	dbRole: z.enum(['primary', 'replica']),
	/** Unix time of its start, in milliseconds; servers that get a new id with each start leave it out. */
	born: z.int().optional(),
});

/** An id that can stand in a message, where blanks separate the fields. */
const serverIdSchema = z.string().regex(/^\S+$/v);

/** Decodes the configuration; undefined where it is none, upon which the version in force stays. */
export function decodeRouting(spec: unknown, onUnusable: (workspace: unknown) => void): Routing | undefined {
	const read = routingSchema.safeParse(spec);
	if (!read.success) {
		return undefined;
	}

	const {revision, routes, backends, tenants, limits} = read.data;
	const hasWorkspaces = tenants.length > 0;
	return {
		version: revision,
		routes: new Map(routes.map(route => [route.host, decodeRoute(route, hasWorkspaces)])),
		groups: new Map(backends.map(({name, maxConnections}) => [name, {name, maxConnections}])),
		workspaces: decodeWorkspaces(tenants, onUnusable),
		idleTransactionMs: limits.txIdleMs,
	};
}

function decodeRoute(route: z.infer<typeof routeSchema>, hasWorkspaces: boolean): Route {
	return {
		name: route.name,
		database: route.host,
		group: route.backend,
		// An unknown policy gets the strictest one, under which nothing can be too old.
		policy: POLICIES[route.type] ?? ReadPolicy.Primary,
		maxReadAgeMs: route.maxStalenessMs,
		statementTimeoutMs: route.timeoutMs,
		targetLatencyMs: route.targetLatencyMs,
		priority: route.priority,
		// A deployment without workspaces has no keys that a caller could show.
		needsKey: hasWorkspaces && !route.allowAnonymous,
	};
}

/** Decodes a server's entry; undefined where it names no server that could be used. */
export function decodeEndpoint({meta, spec}: StoreObject): RegisteredEndpoint | undefined {
	const id = serverIdSchema.safeParse(meta.name);
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
