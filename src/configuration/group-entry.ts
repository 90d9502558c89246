import * as z from 'zod';
import {storedGroupSchema} from '../groups/stored-group.js';
import type {PlatformObject} from '../object-store/platform.js';

/** Checks one group's configuration as proxies pass it on; audit entries stay in the store. */
export const groupEntrySchema = z.object({
	name: z.string(),
	/** The platform version that carries it. */
	version: z.int().min(1),
	cfg: storedGroupSchema.shape.cfg,
	deleted: storedGroupSchema.shape.deleted,
}).refine(entry => entry.name === entry.cfg.name, 'the configuration names another group');

/** One group's configuration as proxies pass it on; kept once deleted, so that an older version cannot come back. */
export type GroupEntry = z.infer<typeof groupEntrySchema>;

/** An entry, or why what came is none. */
export type CheckedEntry =
	| {readonly entry: GroupEntry; readonly reason?: undefined}
	| {readonly entry?: undefined; readonly reason: string};

/** Checks what a peer or a part of this process hands over as an entry. */
export function checkEntry(candidate: unknown): CheckedEntry {
	const checked = groupEntrySchema.safeParse(candidate);
	return checked.success ? {entry: checked.data} : {reason: describe(checked.error)};
}

/** Checks an object of kind `group` from the store. */
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
