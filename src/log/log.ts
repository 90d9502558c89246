/** Writes log lines: a short sentence and structured fields. They never contain a token, a key or a caller's values. */
export type Log = {
	debug(sentence: string, fields?: LogFields): void;
	info(sentence: string, fields?: LogFields): void;
	warn(sentence: string, fields?: LogFields): void;
	error(sentence: string, fields?: LogFields): void;
	/** Returns a log that puts this prefix, such as `failover: `, before each sentence. */
	withPrefix(prefix: string): Log;
};

/** Structured fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		log: Log;
	}
}
