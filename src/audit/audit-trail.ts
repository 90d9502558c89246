import {ObjectKind, type Platform} from '../object-store/platform.js';
import type {AuditEntry} from './audit-entry.js';
import {
	getArchiveName, parseArchive, readArchive, type TrailId,
} from './audit-archive.js';
import {groupKind, OPERATORS_OBJECT, operatorsKind} from './audited-kinds.js';
import type {AuditedKind, AuditedObject} from './change.js';

/** Reads the audit trail from the objects themselves and from the archives. Rejects with PlatformError where the platform does not respond, with AuditError where a stored value is unreadable. */
export type AuditTrail = {
	/** Returns the newest changes of all subjects or of one subject (a group, or `operators`), newest first; at most `last`. */
	getChanges(subject: string | undefined, last: number): Promise<readonly ChangeRow[]>;
};

/** One change with the subject that it changed. */
export type ChangeRow = AuditEntry & {
	/** Name of the group, or `operators`. */
	readonly subject: string;
};

const CALL_TIMEOUT_MS = 5000;

type AnyObject = AuditedObject<unknown>;

type NamedObject = TrailId & {readonly object: AnyObject};

/** Creates a reader of the audit trail. */
export function createAuditTrail({platform}: {readonly platform: Platform}): AuditTrail {
	const getObject = async <T>(kind: AuditedKind<T>, name: string): Promise<AnyObject | undefined> => {
		const object = await platform.get(kind.kind, name, CALL_TIMEOUT_MS);
		return object && kind.parse(object.value);
	};

	const getChangesOf = async (kind: AuditedKind<unknown>, name: string, last: number) => {
		const object = await getObject(kind, name);
		if (!object) {
			return [];
		}

		const trail: TrailId = {kind: kind.kind, name};
		let entries = [...object.audit];
		for (let sequence = object.nextArchive - 1; sequence >= 0 && entries.length < last; sequence--) {
			const older = await readArchive(platform, getArchiveName(trail, sequence), CALL_TIMEOUT_MS) ?? [];
			entries = [...older, ...entries];
		}

		return toRows(name, entries);
	};

	const getAllChanges = async (last: number) => {
		const groups = await platform.list(ObjectKind.Group, '', CALL_TIMEOUT_MS);
		const operators = await getObject(operatorsKind, OPERATORS_OBJECT);
		const trails: NamedObject[] = groups.objects.map(({name, value}) => ({kind: ObjectKind.Group, name, object: groupKind.parse(value)}));
		if (operators) {
			trails.push({kind: ObjectKind.System, name: OPERATORS_OBJECT, object: operators});
		}

		const rows = trails.flatMap(({name, object}) => toRows(name, object.audit));
		// The archives are not needed if each trail has no archive or has at least `last` entries in its object.
		if (trails.some(({object}) => object.nextArchive > 0 && object.audit.length < last)) {
			const archives = await platform.list(ObjectKind.Audit, '', CALL_TIMEOUT_MS);
			const entries = new Map(archives.objects.map(({name, value}) => [name, parseArchive(value)]));
			rows.push(...trails.flatMap(trail => toRows(trail.name, getArchived(trail, entries))));
		}

		return rows.toSorted((left, right) => right.at - left.at);
	};

	return {
		async getChanges(subject, last) {
			if (subject === undefined) {
				const rows = await getAllChanges(last);
				return rows.slice(0, last);
			}

			const kind: AuditedKind<unknown> = subject === OPERATORS_OBJECT ? operatorsKind : groupKind;
			const rows = await getChangesOf(kind, subject, last);
			return rows.slice(0, last);
		},
	};
}

/** Adds the subject to each entry and returns the rows newest first. */
function toRows(subject: string, entries: readonly AuditEntry[]): ChangeRow[] {
	return entries.map(entry => ({...entry, subject})).toReversed();
}

// Guards against an entry that is shown twice: while a proxy moves entries to an archive they are in both places, so an
// archive counts only once the object's `nextArchive` is above its number.
function getArchived(trail: NamedObject, archives: ReadonlyMap<string, readonly AuditEntry[]>): AuditEntry[] {
	const names = Array.from({length: trail.object.nextArchive}, (_, sequence) => getArchiveName(trail, sequence));
	return names.flatMap(name => archives.get(name) ?? []);
}
