import * as z from 'zod';
import {auditEntrySchema} from '../audit/audit-entry.js';
import {groupConfigSchema} from './group-config.js';

/** Checks the value of a platform object of kind `group`: one conditional update changes both parts together. */
export const storedGroupSchema = z.strictObject({
	cfg: groupConfigSchema,
	/** The newest entries, oldest first; older ones are in archive objects. */
	audit: z.array(auditEntrySchema),
	/** Sequence number of the next archive object. */
	nextArchive: z.int().min(0).default(0),
	/** Set instead of deleting the object, so that versions keep rising. */
	deleted: z.boolean().default(false),
});

/** A database group as it stands in the platform's store. */
export type StoredGroup = z.infer<typeof storedGroupSchema>;
