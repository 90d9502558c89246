/**
 * The group's SQL interface: functions and procedures of the schema `aldercroft`, each of which returns one row with one
 * JSON column. Each statement is prepared once per connection under its name.
 */

/** One call of the SQL interface. */
export type PgCall = {
	/** Name of the prepared statement. */
	readonly name: string;
	readonly text: string;
};

/** The calls by name; each comment names the type of the answer, then the parameters. */
export const PgCalls = {
	/** EndpointStatus. */
	Status: {name: 'aldercroft_status', text: 'SELECT aldercroft.status()'},
	/** EndpointStatus; parameters: term, position, milliseconds to wait. */
	WaitFor: {name: 'aldercroft_wait_for', text: 'SELECT aldercroft.wait_for($1, $2, $3)'},
	/** TermAnswer; parameter: term. */
	Fence: {name: 'aldercroft_fence', text: 'SELECT aldercroft.fence($1)'},
	/** TermAnswer; parameter: term. */
	Promote: {name: 'aldercroft_promote', text: 'SELECT aldercroft.promote($1)'},
	/** TermAnswer; parameters: term, primary's address. */
	Follow: {name: 'aldercroft_follow', text: 'SELECT aldercroft.follow($1, $2)'},
	/** KeyedWriteAnswer, after its own commit; parameters: request id, digest, statement, values as JSON, term, milliseconds to wait for a key in flight. */
	Write: {name: 'aldercroft_write', text: 'CALL aldercroft.write($1, $2, $3, $4, $5, $6)'},
	/** KeyedWriteAnswer, after its own commit; parameters: request id, term, milliseconds to wait for a key in flight. */
	Resolve: {name: 'aldercroft_resolve', text: 'CALL aldercroft.resolve($1, $2, $3)'},
	/** FloorReadAnswer, in a READ ONLY transaction; parameters: statement, values as JSON, floor's term and position. */
	Read: {name: 'aldercroft_read', text: 'SELECT aldercroft.read($1, $2, $3, $4)'},
	/** KeyedWriteAnswer, within an open transaction; parameters: request id, digest, term, milliseconds to wait for a key in flight. */
	BeginKey: {name: 'aldercroft_begin_key', text: 'SELECT aldercroft.begin_key($1, $2, $3, $4)'},
	/** Rows, within an open transaction; parameters: statement, values as JSON. */
	Run: {name: 'aldercroft_run', text: 'SELECT aldercroft.run($1, $2)'},
} as const satisfies Readonly<Record<string, PgCall>>;

/** SQLSTATE of a COMMIT at a server that is no longer primary at the transaction's term. */
export const NOT_PRIMARY_CODE = '25006';
