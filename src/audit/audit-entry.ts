import * as z from 'zod';

/** Checks one accepted change as it is kept beside the object that it changed. */
export const auditEntrySchema = z.strictObject({
	/** UUIDv7 made by whoever asked; the same command sent twice carries the same id. */
	changeId: z.string(),
	/** Milliseconds since the epoch. */
	at: z.number(),
	/** Name of the operator, or `failover HOST` for a promotion. */
	who: z.string(),
	/** The command as it was given, or what a proxy did. */
	what: z.string(),
	/** The changed part before, as JSON; null where there was none. */
	from: z.unknown(),
	/** The changed part after, as JSON. */
	to: z.unknown(),
});

/** One accepted change. */
export type AuditEntry = z.infer<typeof auditEntrySchema>;
