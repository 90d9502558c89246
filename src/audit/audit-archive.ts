import {Buffer} from 'node:buffer';
import * as z from 'zod';
import {ObjectKind, type Platform} from '../object-store/platform.js';
import {PlatformConflictError} from '../object-store/platform-errors.js';
import {auditEntrySchema, type AuditEntry} from './audit-entry.js';
import {throwNotAudited} from './audit-errors.js';

/** Entries beside their object at which the older half goes to an archive. */
export const MAX_LIVE_ENTRIES = 64;

/** Entries that always stay beside their object. */
export const MIN_LIVE_ENTRIES = 32;

/** Size of the entries beside their object at which some go to an archive, in bytes of JSON; far under a value's megabyte. */
export const MAX_LIVE_BYTES = 131_072;

const SEQUENCE_DIGITS = 6;

const archiveSchema = z.object({entries: z.array(auditEntrySchema)});

/** The audit trail of one object, by which its archives are named. */
export type Trail = {
	readonly kind: ObjectKind;
	readonly name: string;
};

/** What stays beside the object once older entries are archived. */
export type Archived = {
	readonly audit: readonly AuditEntry[];
	readonly nextArchive: number;
};

/** Name of an archive object. */
export function getArchiveName({kind, name}: Trail, sequence: number): string {
	return `${kind}.${name}.${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`;
}

/** Tells whether entries have to move to an archive. */
export function isFull(audit: readonly AuditEntry[]): boolean {
	return audit.length >= MAX_LIVE_ENTRIES || (audit.length > 1 && Buffer.byteLength(JSON.stringify(audit)) > MAX_LIVE_BYTES);
}

/**
 * Copies the oldest entries to the next archive object, and answers what may stay beside the object.
 *
 * Guards against entries lost or doubled by a proxy that dies between the copy and the update of the object: the copy
 * comes first, and an archive that stands already under the next number is one such copy, so that just what it holds is taken
 * away. Until the update the entries stand in both places, and readers tell them apart by their change id.
 */
export async function archiveOldest(platform: Platform, trail: Trail, {audit, nextArchive}: Archived, timeoutMs: number): Promise<Archived> {
	const count = audit.length >= MAX_LIVE_ENTRIES ? audit.length - MIN_LIVE_ENTRIES : Math.ceil(audit.length / 2);
	const name = getArchiveName(trail, nextArchive);
	let archived = audit.slice(0, count);
	try {
		await platform.put({
			kind: ObjectKind.Audit, name, value: {entries: archived}, expectedVersion: 0,
		}, timeoutMs);
	} catch (err) {
		if (!(err instanceof PlatformConflictError)) {
			throw err;
		}

		archived = await readArchive(platform, name, timeoutMs) ?? [];
	}

	const moved = new Set(archived.map(entry => entry.changeId));
	return {audit: audit.filter(entry => !moved.has(entry.changeId)), nextArchive: nextArchive + 1};
}

/** Reads the entries of an archive, oldest first; undefined where there is none. */
export async function readArchive(platform: Platform, name: string, timeoutMs: number): Promise<AuditEntry[] | undefined> {
	const object = await platform.get(ObjectKind.Audit, name, timeoutMs);
	return object && parseArchive(object.value);
}

/** Reads the value of an archive object. */
export function parseArchive(value: unknown): AuditEntry[] {
	const parsed = archiveSchema.safeParse(value);
	return parsed.success ? parsed.data.entries : throwNotAudited('audit archive', parsed.error);
}
