/** Whether a statement reads or changes data. */
export const Access = {
	Read: 'read',
	Write: 'write',
} as const;

/** One of the values in {@link Access}. */
export type Access = typeof Access[keyof typeof Access];

/** One statement of a caller, parsed as far as the proxy needs. */
export type Statement =
	| {readonly kind: 'begin'; readonly readOnly: boolean}
	| {readonly kind: 'commit'}
	| {readonly kind: 'rollback'}
	/** A read or a write whose text is sent to an endpoint unchanged. */
	| {readonly kind: 'run'; readonly access: Access; readonly text: string}
	/** Runs a prepared statement; its arguments are sent to the endpoint unchanged. They are undefined where no blank follows the name. */
	| {readonly kind: 'execute'; readonly name: string; readonly args?: string}
	| {readonly kind: 'set'; readonly name: string; readonly value: string}
	| {readonly kind: 'prepare'; readonly name: string; readonly shape: PreparedShape}
	| {readonly kind: 'forget'; readonly name: string}
	| {readonly kind: 'malformed'};

/** A prepared statement. */
export type PreparedShape = {
	readonly access: Access;
	/** The statement's shape as it is prepared at the endpoint; opaque to the proxy. */
	readonly shape: string;
};

/** A statement with the id that the caller gave it. */
export type IdentifiedStatement = {
	readonly id: string;
	readonly statement: Statement;
};

/** Whether a session has no open transaction, an open one, or a failed one that must be rolled back. */
export const SessionState = {
	Idle: 'idle',
	Open: 'open',
	Failed: 'failed',
} as const;

/** One of the states in {@link SessionState}. */
export type SessionState = typeof SessionState[keyof typeof SessionState];
