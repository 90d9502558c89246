import * as z from 'zod';
import {
	ReadPolicy, type RegisteredEndpoint, type Route, type Routing,
} from '../routes/routing.js';
import {formatEndpointId} from './endpoint-identity.js';
import {decodeWorkspaces} from './workspace-schema.js';

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

const POLICIES: Readonly<Record<string, ReadPolicy>> = {
	primary: ReadPolicy.Primary,
	bounded: ReadPolicy.Bounded,
	// The staleness bound applies to this policy too, though the platform's name does not say so.
	read_your_writes: ReadPolicy.OwnWrites,
};

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

const routingSchema = z.object({
	revision: z.int(),
	routes: z.array(routeSchema),
	backends: z.array(z.object({
		name: z.string(),
		/** The limit of each server, for the connections of all callers together. */
		maxConnections: z.number(),
		/** How many replicas must have received a commit before the primary acknowledges it; it does not wait for them to apply it. */
		syncReplicas: z.int().nonnegative().default(0),
	})),
	/** The workspaces, which are decoded one by one so that one unreadable entry does not hide the others; omitted if callers have no keys. */
	tenants: z.array(z.unknown()).default([]),
	limits: z.object({txIdleMs: z.number().default(DEFAULT_IDLE_TRANSACTION_MS)}),
});

/** The entry that a server writes about itself. An entry that lacks a field, or has one of another type, was not written by a server. */
const endpointSchema = z.object({
	/** The database group that it serves. */
	backend: z.string().min(1),
	address: z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/v),
	zone: z.string(),
	/** The version of its software, not of the entry. */
	revision: z.string(),
	/** How many statements it runs at once, not how many connections it accepts. */
	capacity: z.int().positive(),
	state: z.enum(['ready', 'draining']),
	coldRemainingMs: z.number(),
	/** Increases with each heartbeat. */
	sequence: z.int(),
	/** The role that the server reports for itself. */
	dbRole: z.enum(['primary', 'replica']),
	/** Unix time of its start, in milliseconds; omitted by servers that get a new id with each start. */
	born: z.int().optional(),
});

/** The id of a server. It is a field of messages, where blanks separate the fields, so it contains no blank. */
const serverIdSchema = z.string().regex(/^\S+$/v);

/** Decodes the configuration. Returns undefined if it is invalid; the version in force then remains. */
export function decodeRouting(spec: unknown, onUnusable: (workspace: unknown) => void): Routing | undefined {
	const parsed = routingSchema.safeParse(spec);
	if (!parsed.success) {
		return undefined;
	}

	const {revision, routes, backends, tenants, limits} = parsed.data;
	const hasWorkspaces = tenants.length > 0;
	return {
		version: revision,
		routes: new Map(routes.map(route => [route.host, decodeRoute(route, hasWorkspaces)])),
		groups: new Map(backends.map(({name, maxConnections, syncReplicas}) => [name, {name, maxConnections, ...(syncReplicas > 0 && {syncReplicas})}])),
		workspaces: decodeWorkspaces(tenants, onUnusable),
		idleTransactionMs: limits.txIdleMs,
	};
}

function decodeRoute(route: z.infer<typeof routeSchema>, hasWorkspaces: boolean): Route {
	return {
		name: route.name,
		database: route.host,
		group: route.backend,
		// An unknown policy is replaced by the strictest one, under which no read is stale.
		policy: POLICIES[route.type] ?? ReadPolicy.Primary,
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
