import * as z from 'zod';

/** Validates one accepted change as it is stored in the changed object. */
export const auditEntrySchema = z.strictObject({
	/** UUIDv7 created by the sender of the command; the same command sent twice carries the same id. */
	changeId: z.string(),
	/** Milliseconds since the epoch. */
	at: z.number(),
	/** Name of the operator, or `failover HOST` for a promotion. */
	who: z.string(),
	/** The command as it was given, or a description of what a proxy did. */
	what: z.string(),
	/** The changed part before the change, as JSON; null where there was none. */
	from: z.unknown(),
	/** The changed part after the change, as JSON. */
	to: z.unknown(),
});

/** One accepted change. */
export type AuditEntry = z.infer<typeof auditEntrySchema>;
