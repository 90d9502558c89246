import * as z from 'zod';
import {storedGroupSchema} from '../groups/stored-group.js';
import type {PlatformObject} from '../object-store/platform.js';

/** Validates one group's configuration as proxies exchange it; audit entries stay in the store. */
export const groupEntrySchema = z.object({
	name: z.string(),
	/** The group's version in the platform's store. */
	version: z.int().min(1),
	cfg: storedGroupSchema.shape.cfg,
	deleted: storedGroupSchema.shape.deleted,
}).refine(entry => entry.name === entry.cfg.name, 'the configuration names another group');

/** One group's configuration as proxies exchange it. The entry of a deleted group is kept so that an older version cannot replace it. */
export type GroupEntry = z.infer<typeof groupEntrySchema>;

/** A valid entry, or the reason why the candidate is invalid. */
export type CheckedEntry =
	| {readonly entry: GroupEntry; readonly reason?: undefined}
	| {readonly entry?: undefined; readonly reason: string};

/** Validates an entry that comes from a peer or from another part of this process. */
export function checkEntry(candidate: unknown): CheckedEntry {
	const checked = groupEntrySchema.safeParse(candidate);
	return checked.success ? {entry: checked.data} : {reason: describe(checked.error)};
}

/** Validates an object of kind `group` from the store. */
export function checkStoredGroup({name, version, value}: PlatformObject): CheckedEntry {
	const stored = storedGroupSchema.safeParse(value);
	if (!stored.success) {
		return {reason: describe(stored.error)};
	}

	const {cfg, deleted} = stored.data;
	return checkEntry({
		name, version, cfg, deleted,
	});
}

function describe(err: z.ZodError) {
	return err.issues.map(issue => `${issue.path.join('.') || 'it'}: ${issue.message}`).join('; ');
}
