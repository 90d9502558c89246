import {z} from 'zod';
import {
	ReadPolicy, type RegisteredEndpoint, type Route, type Routing,
} from '../routes/routing.js';

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

/** Checks a page of a list. */
export const storeListSchema = z.object({
	items: z.array(storeObjectSchema),
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
});

const routingSchema = z.object({
	revision: z.int(),
	routes: z.array(routeSchema),
	backends: z.array(z.object({
		name: z.string(),
		/** Of each server, from all callers together. */
		maxConnections: z.number(),
	})),
	limits: z.object({txIdleMs: z.number().default(DEFAULT_IDLE_TRANSACTION_MS)}),
});

const endpointSchema = z.object({
	/** The group that it serves. */
	backend: z.string(),
	address: z.string(),
	zone: z.string(),
	/** Statements that it runs at once, not its connections. */
	capacity: z.number().default(1),
	state: z.string(),
	/** How the server sees itself. */
	dbRole: z.string().optional(),
});

/** Decodes the configuration. */
export function decodeRouting(spec: unknown): Routing {
	const {revision, routes, backends, limits} = routingSchema.parse(spec);
	return {
		version: revision,
		routes: new Map(routes.map(route => [route.host, decodeRoute(route)])),
		groups: new Map(backends.map(({name, maxConnections}) => [name, {name, maxConnections}])),
		idleTransactionMs: limits.txIdleMs,
	};
}

function decodeRoute(route: z.infer<typeof routeSchema>): Route {
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
	};
}

/** Decodes a server's entry. */
export function decodeEndpoint({meta, spec}: StoreObject): RegisteredEndpoint {
	const entry = endpointSchema.parse(spec);
	return {
		id: meta.name,
		group: entry.backend,
		address: entry.address,
		availabilityZone: entry.zone,
		slots: entry.capacity,
		leaving: entry.state !== 'ready',
		claimsLead: entry.dbRole === 'primary',
	};
}
