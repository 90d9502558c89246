import type {LogPosition} from '../terms/log-position.js';

/**
 * The interface to a database server. Everything the proxy knows about a server comes through it;
 * `pg-endpoint.ts` implements it over the PostgreSQL protocol, and tests use an in-memory server.
 */

/** The role of a server in its group. */
export const EndpointRole = {
	Primary: 'primary',
	Replica: 'replica',
} as const;

/** One of the roles in {@link EndpointRole}. */
export type EndpointRole = typeof EndpointRole[keyof typeof EndpointRole];

/** One answer with a server's whole state; its fields are consistent with each other and are never mixed with those of another answer. */
export type EndpointStatus = {
	/** The highest term that the server has promised. */
	readonly term: number;
	/** The end of the server's log. */
	readonly log: LogPosition;
	readonly role: EndpointRole;
	/** Whether the server announces that it is about to leave. */
	readonly leaving: boolean;
};

/** A keyed write: the key is inserted first, in the same transaction as the statement. */
export type KeyedWrite = {
	readonly requestId: string;
	/** Hash of statement and values; a retry with another digest is refused. */
	readonly digest: string;
	readonly statement: string;
	readonly values: readonly unknown[];
	/** Term of the primary; a server that is not primary at this term refuses the write. */
	readonly term: number;
};

/** How a keyed write ended at the server. */
export const KeyedWriteResult = {
	/** The key was new and the statement ran and is committed. */
	Ran: 'ran',
	/** The key existed already, with a recorded answer. */
	Found: 'found',
	/** The key exists as a tombstone: the request will never run. */
	Tombstone: 'tombstone',
	/** The key exists with another digest. */
	Mismatch: 'mismatch',
	/** The statement failed and was rolled back together with the key. */
	Failed: 'failed',
	/** The server is not primary at that term; nothing ran. */
	NotPrimary: 'not-primary',
} as const;

/** One of the results in {@link KeyedWriteResult}. */
export type KeyedWriteResult = typeof KeyedWriteResult[keyof typeof KeyedWriteResult];

/** A server's answer to a keyed write or to a resolve. */
export type KeyedWriteAnswer = {
	readonly result: KeyedWriteResult;
	/** The rows recorded with the key, for `ran` and `found`. */
	readonly rows?: readonly Row[];
	/** The server's error, for `failed`. */
	readonly message?: string;
	/** The status after the commit; its log position includes the key's entry. */
	readonly status: EndpointStatus;
};

/** One row of an answer, by column name. */
export type Row = Readonly<Record<string, unknown>>;

/** A read that is valid only if the server's log holds its floor, a minimum log position. */
export type FloorRead = {
	readonly statement: string;
	readonly values: readonly unknown[];
	/** The server runs the statement only if its log holds this position. */
	readonly floor: LogPosition;
};

/** A server's answer to a floor read; `status` was read before the rows. */
export type FloorReadAnswer = {
	/** Whether the server's log held the floor, so that the statement was run. */
	readonly held: boolean;
	/**
	 * True where the log has passed the floor but does not hold its entry: the entry at the floor's position is of another
	 * term, or there is none. The statement was not run, and `held` is false.
	 */
	readonly lost?: boolean;
	readonly rows: readonly Row[];
	readonly status: EndpointStatus;
	/** The server's error where the statement failed. */
	readonly message?: string;
};

/** Opens connections to one database server. */
export type Endpoint = {
	/** `ip:port`. */
	readonly address: string;
	/** Opens a connection; rejects with EndpointError (`sent: false`) when refused or not open within `timeoutMs`. */
	connect(timeoutMs: number): Promise<EndpointConnection>;
};

/**
 * One connection to a database server, one exchange at a time.
 *
 * Every exchange has a timeout, `timeoutMs`; one that does not end in time rejects with EndpointError (`sent: true`)
 * and destroys the connection, so that a late answer reaches no other exchange.
 */
export type EndpointConnection = {
	/** False once the connection was closed, destroyed or lost. */
	readonly usable: boolean;
	status(timeoutMs: number): Promise<EndpointStatus>;
	/** Resolves once the server's log holds the position, or after `waitMs` with the status at that time. */
	waitFor(position: LogPosition, waitMs: number, timeoutMs: number): Promise<EndpointStatus>;
	/** Raises the server's promised term; it is `granted` only where the term is greater than any promised before. */
	fence(term: number, timeoutMs: number): Promise<TermAnswer>;
	/** Makes the server primary at the term that it has promised; it writes an empty entry of that term at once. */
	promote(term: number, timeoutMs: number): Promise<TermAnswer>;
	/** Makes the server replicate from the primary at that address in that term, unless it has promised a higher term. */
	follow(term: number, primaryAddress: string, timeoutMs: number): Promise<TermAnswer>;
	write(write: KeyedWrite, timeoutMs: number): Promise<KeyedWriteAnswer>;
	/** Inserts a tombstone where the key is absent; resolves with the state of the key, found or tombstone, or with not-primary. */
	resolve(requestId: string, term: number, timeoutMs: number): Promise<KeyedWriteAnswer>;
	read(read: FloorRead, timeoutMs: number): Promise<FloorReadAnswer>;
	/** Opens a transaction at the primary of that term; its key is inserted first. */
	begin(transaction: Omit<KeyedWrite, 'statement' | 'values'>, timeoutMs: number): Promise<KeyedWriteAnswer>;
	/** Runs a statement within the open transaction. */
	run(statement: string, values: readonly unknown[], timeoutMs: number): Promise<StatementAnswer>;
	/** Commits the open transaction; the status is read after the commit. */
	commit(timeoutMs: number): Promise<KeyedWriteAnswer>;
	rollback(timeoutMs: number): Promise<void>;
	/** Closes the connection gracefully; for idle connections. */
	close(): Promise<void>;
	/** Closes the connection at once; an exchange in flight rejects. */
	destroy(): void;
};

/** A server's answer to a change of term. */
export type TermAnswer = {
	readonly granted: boolean;
	readonly status: EndpointStatus;
};

/** A server's answer to a statement within a transaction. */
export type StatementAnswer = {
	readonly rows: readonly Row[];
	/** The server's error where the statement failed; the transaction can then only be rolled back. */
	readonly message?: string;
};

/** Provides access to database servers by address. */
export type Endpoints = {
	getEndpoint(address: string): Endpoint;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		endpoints: Endpoints;
	}
}
