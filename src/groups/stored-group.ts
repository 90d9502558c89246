import * as z from 'zod';
import {auditEntrySchema} from '../audit/audit-entry.js';
import {groupConfigSchema} from './group-config.js';

/** Schema of the value of a platform object of kind `group`. One conditional update changes the configuration and the audit log together. */
export const storedGroupSchema = z.strictObject({
	cfg: groupConfigSchema,
	/** The newest entries, oldest first; older ones are in archive objects. */
	audit: z.array(auditEntrySchema),
	/** Sequence number of the next archive object. */
	nextArchive: z.int().min(0).default(0),
	/** Set instead of deleting the object, so that its version keeps increasing. */
	deleted: z.boolean().default(false),
});

/** A database group as the platform stores it. */
export type StoredGroup = z.infer<typeof storedGroupSchema>;
