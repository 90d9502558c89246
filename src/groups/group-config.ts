import * as z from 'zod';

/** The orders that an operator can give an endpoint. */
export const EndpointOrder = {
	/** The endpoint accepts work. */
	Serve: 'serve',
	/** The endpoint gets no new work; work in progress may finish. */
	Drain: 'drain',
	/** The endpoint is drained first, then no longer used or monitored. */
	Stop: 'stop',
} as const;

/** One of the orders in {@link EndpointOrder}. */
export type EndpointOrder = typeof EndpointOrder[keyof typeof EndpointOrder];

/** The rules for when a write is acknowledged. */
export const Durability = {
	/** Acknowledged once a majority of the group's endpoints hold the write. */
	Majority: 'majority',
	/** Acknowledged once the primary holds the write and a majority confirms the primary's term afterwards. */
	Primary: 'primary',
} as const;

/** One of the rules in {@link Durability}. */
export type Durability = typeof Durability[keyof typeof Durability];

/** The classes of work that a caller can name, most urgent first. */
export const WorkClass = {
	/** Work that callers have to complete by a fixed time. */
	Deadline: 'deadline',
	/** Requests on which a user waits. */
	Interactive: 'interactive',
	/** Batch work that can wait. */
	Background: 'background',
} as const;

/** One of the classes in {@link WorkClass}. */
export type WorkClass = typeof WorkClass[keyof typeof WorkClass];

const name = z.string().regex(/^[a-z][a-z\d\-]{0,62}$/v, 'a name is 1 to 63 of a-z, 0-9 and "-", beginning with a letter');

/** Schema of one endpoint of a group as the platform stores it. */
export const endpointConfigSchema = z.strictObject({
	name,
	/** `ip:port` of the database server. */
	address: z.string().regex(/^.+:\d{1,5}$/v, 'an address is ip:port'),
	availabilityZone: z.string().min(1),
	/** Maximum number of connections that the server accepts from all proxies together. */
	connections: z.int().min(1).max(10_000),
	/** Maximum number of statements that the server runs at the same time. */
	slots: z.int().min(1).max(1000),
	order: z.enum(EndpointOrder).default(EndpointOrder.Serve),
	/** Time at which the order was given, in milliseconds since the epoch. */
	orderedAt: z.number().optional(),
});

/** Schema of a database group as the platform stores it. */
export const groupConfigSchema = z.strictObject({
	name,
	endpoints: z.array(endpointConfigSchema).min(1).max(15),
	/** Upper limit of the data age that a read may allow, in milliseconds. */
	readAgeLimitMs: z.int().min(0).max(86_400_000).default(60_000),
	durability: z.enum(Durability).default(Durability.Majority),
	/** Number of hosts that own the group. */
	owners: z.int().min(1).max(9).default(2),
	/** For each class, the share of each endpoint's slots that is reserved for it. */
	classShares: z.strictObject({
		deadline: z.number().min(0).max(1),
		interactive: z.number().min(0).max(1),
		background: z.number().min(0).max(1),
	}).default({deadline: 0.5, interactive: 0.3, background: 0.1}),
	/** Time for which the group keeps request keys, in milliseconds. */
	keyRetentionMs: z.int().min(60_000).max(2_592_000_000).default(86_400_000),
});

/** One endpoint of a database group. */
export type EndpointConfig = z.infer<typeof endpointConfigSchema>;

/** A database group as operators configure it. */
export type GroupConfig = z.infer<typeof groupConfigSchema>;

/** Returns the number of endpoints that form a majority of the group. */
export function getMajority(cfg: GroupConfig): number {
	return Math.floor(cfg.endpoints.length / 2) + 1;
}
