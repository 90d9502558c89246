import * as z from 'zod';

/** What an operator may order of an endpoint. */
export const EndpointOrder = {
	/** Takes work. */
	Serve: 'serve',
	/** Gets no new work; what runs may end. */
	Drain: 'drain',
	/** Drained first, then no longer used or watched. */
	Stop: 'stop',
} as const;

/** One of the orders in {@link EndpointOrder}. */
export type EndpointOrder = typeof EndpointOrder[keyof typeof EndpointOrder];

/** When a write is acknowledged. */
export const Durability = {
	/** Once a majority of the group's endpoints hold it. */
	Majority: 'majority',
	/** Once the primary holds it and a majority confirms the primary's term afterwards. */
	Primary: 'primary',
} as const;

/** One of the rules in {@link Durability}. */
export type Durability = typeof Durability[keyof typeof Durability];

/** The classes of work a caller may name, from the most urgent. */
export const WorkClass = {
	/** Filings and syncs. */
	Deadline: 'deadline',
	/** Lookups and coach pulls. */
	Interactive: 'interactive',
	/** Dockets and reconciliation. */
	Background: 'background',
} as const;

/** One of the classes in {@link WorkClass}. */
export type WorkClass = typeof WorkClass[keyof typeof WorkClass];

const name = z.string().regex(/^[a-z][a-z\d\-]{0,62}$/v, 'a name is 1 to 63 of a-z, 0-9 and "-", beginning with a letter');

/** Checks one endpoint of a group as the platform stores it. */
export const endpointConfigSchema = z.strictObject({
	name,
	/** `ip:port` of the database server. */
	address: z.string().regex(/^.+:\d{1,5}$/v, 'an address is ip:port'),
	availabilityZone: z.string().min(1),
	/** Connections the server grants to all proxies together. */
	connections: z.int().min(1).max(10_000),
	/** Statements the server runs at once. */
	slots: z.int().min(1).max(1000),
	order: z.enum(EndpointOrder).default(EndpointOrder.Serve),
	/** When the order was given, milliseconds since the epoch. */
	orderedAt: z.number().optional(),
});

/** Checks a database group as the platform stores it. */
export const groupConfigSchema = z.strictObject({
	name,
	endpoints: z.array(endpointConfigSchema).min(1).max(15),
	/** The oldest age a read may state, in milliseconds. */
	readAgeLimitMs: z.int().min(0).max(86_400_000).default(60_000),
	durability: z.enum(Durability).default(Durability.Majority),
	/** How many hosts look after the group. */
	owners: z.int().min(1).max(9).default(2),
	/** Share of each endpoint's slots that no other class can take from this one. */
	classShares: z.strictObject({
		deadline: z.number().min(0).max(1),
		interactive: z.number().min(0).max(1),
		background: z.number().min(0).max(1),
	}).default({deadline: 0.5, interactive: 0.3, background: 0.1}),
	/** How long the group keeps request keys, in milliseconds. */
	keyRetentionMs: z.int().min(60_000).max(2_592_000_000).default(86_400_000),
});

/** One endpoint of a database group. */
export type EndpointConfig = z.infer<typeof endpointConfigSchema>;

/** A database group as operators configure it. */
export type GroupConfig = z.infer<typeof groupConfigSchema>;

/** How many endpoints make a majority of the group. */
export function getMajority(cfg: GroupConfig): number {
	return Math.floor(cfg.endpoints.length / 2) + 1;
}
