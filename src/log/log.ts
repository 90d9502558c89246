/** Writes log lines: a short sentence, and fields beside it. Never a token, a key or a caller's values. */
export type Log = {
	debug(sentence: string, fields?: LogFields): void;
	info(sentence: string, fields?: LogFields): void;
	warn(sentence: string, fields?: LogFields): void;
	error(sentence: string, fields?: LogFields): void;
	/** A log whose sentences begin with the part's fixed prefix, as in `failover: `. */
	part(prefix: string): Log;
};

/** Structured fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		log: Log;
	}
}
