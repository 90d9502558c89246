import {Buffer} from 'node:buffer';
import * as z from 'zod';
import {ObjectKind, type Platform} from '../object-store/platform.js';
import {PlatformConflictError} from '../object-store/platform-errors.js';
import {auditEntrySchema, type AuditEntry} from './audit-entry.js';
import {throwUnreadableObject} from './audit-errors.js';

/** Number of entries in the object itself at which the older half moves to an archive. */
export const MAX_LIVE_ENTRIES = 64;

/** Number of entries that stay in the object when this count limit moves the others to an archive. */
export const MIN_LIVE_ENTRIES = 32;

/** Size of the entries in the object at which the older half moves to an archive, in bytes of JSON; far below the limit of a megabyte for a value. */
export const MAX_LIVE_BYTES = 131_072;

const SEQUENCE_DIGITS = 6;

const archiveSchema = z.object({entries: z.array(auditEntrySchema)});

/** Identifies the audit trail of one object; the names of its archives are derived from it. */
export type TrailId = {
	readonly kind: ObjectKind;
	readonly name: string;
};

/** The part of an audit trail that is stored in the object itself. */
export type LiveTrail = {
	readonly audit: readonly AuditEntry[];
	readonly nextArchive: number;
};

/** Returns the name of an archive object. */
export function getArchiveName({kind, name}: TrailId, sequence: number): string {
	return `${kind}.${name}.${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`;
}

/** Returns whether entries have to move to an archive. */
export function isArchivingDue(audit: readonly AuditEntry[]): boolean {
	return audit.length >= MAX_LIVE_ENTRIES || (audit.length > 1 && Buffer.byteLength(JSON.stringify(audit)) > MAX_LIVE_BYTES);
}

/**
 * Copies the oldest entries to the next archive object, and returns the part of the trail that stays in the object.
 *
 * Guards against entries that are lost or duplicated by a proxy that dies between the copy and the update of the object.
 * The copy comes first, and an archive that already exists under the next number is such a copy, so exactly the entries
 * that it contains are removed, matched by change id. Until the update the entries are in both places, and readers
 * ignore an archive whose number is not below the object's `nextArchive`.
 */
export async function archiveOldest(platform: Platform, trail: TrailId, {audit, nextArchive}: LiveTrail, timeoutMs: number): Promise<LiveTrail> {
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

/** Returns the entries of an archive, oldest first; undefined where the archive does not exist. Throws an AuditError where it is unreadable. */
export async function readArchive(platform: Platform, name: string, timeoutMs: number): Promise<AuditEntry[] | undefined> {
	const object = await platform.get(ObjectKind.Audit, name, timeoutMs);
	return object && parseArchive(object.value);
}

/** Returns the entries in the value of an archive object; throws an AuditError where the value is invalid. */
export function parseArchive(value: unknown): AuditEntry[] {
	const parsed = archiveSchema.safeParse(value);
	return parsed.success ? parsed.data.entries : throwUnreadableObject('audit archive', parsed.error);
}
