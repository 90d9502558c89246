import type {ObjectKind} from '../object-store/platform.js';
import type {AuditEntry} from './audit-entry.js';

/** An object that contains its own audit entries, so that one conditional update changes both together. */
export type AuditedObject<T> = {
	/** Undefined where the object does not exist yet. */
	readonly state: T | undefined;
	/** The newest entries, oldest first. */
	readonly audit: readonly AuditEntry[];
	/** Sequence number of the next archive object. */
	readonly nextArchive: number;
};

/** Converts objects of one kind from and to their value in the platform. */
export type AuditedKind<T> = {
	readonly kind: ObjectKind;
	/** Throws an AuditError where the value does not match the kind's schema. */
	parse(value: unknown): AuditedObject<T>;
	format(object: AuditedObject<T>): unknown;
};

/** The author of a change. */
export type ChangeAuthor = {
	/** Name of the operator, or `failover HOST`. */
	readonly who: string;
	/** UUIDv7; the same command sent twice carries the same id. */
	readonly changeId: string;
};

/** A change that is decided again for every version that it is tried on. */
export type Change<T> = {
	/** The command as it was given. */
	readonly what: string;
	/** @param now Milliseconds since the epoch, by the wall clock. */
	decide(current: T | undefined, now: number): ChangeDecision<T>;
};

/** The effect of a change on a state. */
export type ChangeDecision<T> = {
	/** The fields that the change affects; two changes conflict where they share one. */
	readonly fields: readonly string[];
} & (
	| {readonly kind: typeof DecisionKind.Change; readonly state: T; readonly from: ChangedPart; readonly to: ChangedPart}
	| {readonly kind: typeof DecisionKind.Unchanged}
	| {readonly kind: typeof DecisionKind.Refuse; readonly reason: string}
);

/** The kinds of decision on a change. */
export const DecisionKind = {
	Change: 'change',
	/** The state is already as requested. */
	Unchanged: 'unchanged',
	Refuse: 'refuse',
} as const;

/** The changed fields by name, serializable as JSON; undefined where there was nothing. */
export type ChangedPart = Readonly<Record<string, unknown>> | undefined;

/** A change with this field conflicts with every other change. */
export const EVERY_FIELD = '*';

/** The field for the existence of an object. */
export const EXISTENCE_FIELD = 'exists';

/** The results of a change. */
export const ChangeResult = {
	/** The change is in force; `repeated` where an earlier command with the same change id had applied it. */
	Applied: 'applied',
	Unchanged: 'unchanged',
	/** Nothing was changed, and nothing will be changed later. */
	Refused: 'refused',
	/** The platform did not respond: the change may be in force, or may still come into force. */
	Unknown: 'unknown',
} as const;

/** One of the results in {@link ChangeResult}. */
export type ChangeResult = typeof ChangeResult[keyof typeof ChangeResult];

/** The answer to a change. */
export type ChangeAnswer =
	| {readonly result: typeof ChangeResult.Applied; readonly entry: AuditEntry; readonly version: number; readonly repeated: boolean}
	| {readonly result: typeof ChangeResult.Unchanged; readonly by?: AuditEntry}
	| {readonly result: typeof ChangeResult.Refused; readonly reason: string; readonly beatenBy?: AuditEntry}
	| {readonly result: typeof ChangeResult.Unknown; readonly reason: string};

/** Returns whether an entry affects one of the fields. */
export function affectsAnyField(entry: AuditEntry, fields: readonly string[]): boolean {
	const entryFields = getEntryFields(entry);
	return fields.includes(EVERY_FIELD) || entryFields.some(field => fields.includes(field));
}

/** Returns the fields of both parts; a part that is null, as in a note, has none. */
function getEntryFields({from, to}: AuditEntry): readonly string[] {
	return [from, to].flatMap(part => isPart(part) ? Object.keys(part) : []);
}

function isPart(part: unknown): part is Readonly<Record<string, unknown>> {
	return typeof part === 'object' && part !== null;
}
