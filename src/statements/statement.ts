/** Whether a statement changes data. */
export const Access = {
	Read: 'read',
	Write: 'write',
} as const;

/** One of the ways in {@link Access}. */
export type Access = typeof Access[keyof typeof Access];

/** What a caller asks for in one statement, as far as the proxy has to understand it. */
export type Statement =
	| {readonly kind: 'begin'; readonly readOnly: boolean}
	| {readonly kind: 'commit'}
	| {readonly kind: 'rollback'}
	/** A read or a write that goes to an endpoint with its text unchanged. */
	| {readonly kind: 'run'; readonly access: Access; readonly text: string}
	/** Runs a prepared statement; its arguments go to the endpoint unchanged. */
	| {readonly kind: 'execute'; readonly name: string; readonly args: string}
	| {readonly kind: 'set'; readonly name: string; readonly value: string}
	| {readonly kind: 'prepare'; readonly name: string; readonly shape: PreparedShape}
	| {readonly kind: 'forget'; readonly name: string}
	| {readonly kind: 'malformed'};

/** What a prepared name stands for. */
export type PreparedShape = {
	readonly access: Access;
	/** The statement's shape as the endpoint knows it; opaque to the proxy. */
	readonly shape: string;
};

/** A statement with the id under which the caller sent it. */
export type IdentifiedStatement = {
	readonly id: string;
	readonly statement: Statement;
};

/** Whether a session is between transactions, in one, or in one that failed and waits to be rolled back. */
export const SessionState = {
	Idle: 'idle',
	Open: 'open',
	Failed: 'failed',
} as const;

/** One of the states in {@link SessionState}. */
export type SessionState = typeof SessionState[keyof typeof SessionState];
