import type {ObjectKind} from '../object-store/platform.js';
import type {AuditEntry} from './audit-entry.js';

/** An object that carries its own audit entries, so that one conditional update changes both together. */
export type AuditedObject<T> = {
	/** Undefined where there is none yet. */
	readonly state: T | undefined;
	/** The newest entries, oldest first. */
	readonly audit: readonly AuditEntry[];
	/** Sequence number of the next archive object. */
	readonly nextArchive: number;
};

/** How objects of one kind are kept in the platform. */
export type AuditedKind<T> = {
	readonly kind: ObjectKind;
	/** Throws an AuditError where the value is none. */
	parse(value: unknown): AuditedObject<T>;
	format(object: AuditedObject<T>): unknown;
};

/** Who changes something. */
export type ChangeAuthor = {
	/** Name of the operator, or `failover HOST`. */
	readonly who: string;
	/** UUIDv7; the same command sent twice carries the same id. */
	readonly changeId: string;
};

/** A change, decided anew on every version that it is tried on. */
export type Change<T> = {
	/** The command as it was given. */
	readonly what: string;
	/** @param now Milliseconds since the epoch, by the calendar. */
	decide(current: T | undefined, now: number): ChangeDecision<T>;
};

/** What a change makes of a state. */
export type ChangeDecision<T> = {
	/** The fields that the change is about; two changes conflict where they share one. */
	readonly fields: readonly string[];
} & (
	| {readonly kind: typeof DecisionKind.Change; readonly state: T; readonly from: ChangedPart; readonly to: ChangedPart}
	| {readonly kind: typeof DecisionKind.Unchanged}
	| {readonly kind: typeof DecisionKind.Refuse; readonly reason: string}
);

/** What can be decided of a change. */
export const DecisionKind = {
	Change: 'change',
	/** All stands as it is asked already. */
	Unchanged: 'unchanged',
	Refuse: 'refuse',
} as const;

/** The changed fields by name, fit for JSON; undefined where there was nothing. */
export type ChangedPart = Readonly<Record<string, unknown>> | undefined;

/** A change that is about this field conflicts with every other. */
export const EVERY_FIELD = '*';

/** The field of an object's being there at all. */
export const EXISTENCE_FIELD = 'exists';

/** How a change ended. */
export const ChangeResult = {
	/** It is in force; `repeated` where an earlier try of the same change id had put it there. */
	Applied: 'applied',
	Unchanged: 'unchanged',
	/** Nothing was changed, and nothing will be. */
	Refused: 'refused',
	/** The platform gave no answer: it may be in force, or come into force yet. */
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

/** Tells whether an entry is about one of the fields. */
export function touches(entry: AuditEntry, fields: readonly string[]): boolean {
	const entryFields = getEntryFields(entry);
	return fields.includes(EVERY_FIELD) || entryFields.some(field => fields.includes(field));
}

/** The fields of both parts; a part that is null, as of a note, has none. */
function getEntryFields({from, to}: AuditEntry): readonly string[] {
	return [from, to].flatMap(part => isPart(part) ? Object.keys(part) : []);
}

function isPart(part: unknown): part is Readonly<Record<string, unknown>> {
	return typeof part === 'object' && part !== null;
}
