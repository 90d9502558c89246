import type {LogPosition} from '../terms/log-position.js';

/**
 * The seam to a database server. Everything the proxy knows of a server comes through this interface;
 * `pg-endpoint.ts` speaks it over the PostgreSQL protocol and tests plug in an in-memory server.
 */

/** What a server does in its group. */
export const EndpointRole = {
	Primary: 'primary',
	Replica: 'replica',
} as const;

/** One of the roles in {@link EndpointRole}. */
export type EndpointRole = typeof EndpointRole[keyof typeof EndpointRole];

/** One answer in which a server shows its whole state; its fields belong together and are never mixed with another answer's. */
export type EndpointStatus = {
	/** The highest term the server has promised to. */
	readonly term: number;
	/** Where the server's log ends. */
	readonly log: LogPosition;
	readonly role: EndpointRole;
	/** The server's own word that it is about to leave. */
	readonly leaving: boolean;
};

/** A keyed write: the key is inserted first, in the same transaction as the statement. */
export type KeyedWrite = {
	readonly requestId: string;
	/** Hash of statement and values; a second try with another digest is refused. */
	readonly digest: string;
	readonly statement: string;
	readonly values: readonly unknown[];
	/** Refused by a server that is not primary at this term. */
	readonly term: number;
};

/** How a keyed write ended at the server. */
export const KeyedWriteResult = {
	/** The key was new and the statement ran and is committed. */
	Ran: 'ran',
	/** The key stood already with a recorded answer. */
	Found: 'found',
	/** The key stands as a tombstone: the request will never run. */
	Tombstone: 'tombstone',
	/** The key stands with another digest. */
	Mismatch: 'mismatch',
	/** The statement failed and was rolled back, the key with it. */
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
	/** Taken after the commit; covers the key's entry. */
	readonly status: EndpointStatus;
};

/** One row of an answer, by column name. */
export type Row = Readonly<Record<string, unknown>>;

/** A read that stands only if the server holds the floor. */
export type FloorRead = {
	readonly statement: string;
	readonly values: readonly unknown[];
	/** The server runs the statement only if its log holds this position. */
	readonly floor: LogPosition;
};

/** A server's answer to a floor read; `status` was read before the rows. */
export type FloorReadAnswer = {
	readonly held: boolean;
	/**
	 * True where the log has passed the floor without holding its entry: the entry at the floor's position is of another
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
 * Every exchange is given `timeoutMs`; one that does not end in time rejects with EndpointError (`sent: true`)
 * and destroys the connection, so that a late answer can reach nobody.
 */
export type EndpointConnection = {
	/** False once the connection was closed, destroyed or lost. */
	readonly usable: boolean;
	status(timeoutMs: number): Promise<EndpointStatus>;
	/** Answers once the server's log holds the position, or after `waitMs` with what it holds then. */
	waitFor(position: LogPosition, waitMs: number, timeoutMs: number): Promise<EndpointStatus>;
	/** Raises the server's promised term; `granted` only where the term is greater than any promised before. */
	fence(term: number, timeoutMs: number): Promise<TermAnswer>;
	/** Makes the server primary at the term it has promised; it writes an empty entry of that term at once. */
	promote(term: number, timeoutMs: number): Promise<TermAnswer>;
	/** Makes the server replicate from the primary at that address in that term, unless it has promised a higher one. */
	follow(term: number, primaryAddress: string, timeoutMs: number): Promise<TermAnswer>;
	write(write: KeyedWrite, timeoutMs: number): Promise<KeyedWriteAnswer>;
	/** Inserts a tombstone where the key is absent; answers what stands under the key: found, tombstone or not-primary. */
	resolve(requestId: string, term: number, timeoutMs: number): Promise<KeyedWriteAnswer>;
	read(read: FloorRead, timeoutMs: number): Promise<FloorReadAnswer>;
	/** Opens a transaction at the primary of that term with its key inserted first. */
	begin(transaction: Omit<KeyedWrite, 'statement' | 'values'>, timeoutMs: number): Promise<KeyedWriteAnswer>;
	/** Runs a statement within the open transaction. */
	run(statement: string, values: readonly unknown[], timeoutMs: number): Promise<StatementAnswer>;
	/** Commits the open transaction; the status is taken after the commit. */
	commit(timeoutMs: number): Promise<KeyedWriteAnswer>;
	rollback(timeoutMs: number): Promise<void>;
	/** Ends the connection in order; for idle connections. */
	close(): Promise<void>;
	/** Cuts the connection at once; an exchange in flight rejects. */
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

/** Finds the way to a database server by its address. */
export type Endpoints = {
	getEndpoint(address: string): Endpoint;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		endpoints: Endpoints;
	}
}
