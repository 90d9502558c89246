import * as z from 'zod';

/** One line of a proxy's log. */
export type LogEvent = {
	/** When it was written by that host's calendar, in milliseconds since the epoch. */
	readonly at: number;
	readonly host: string;
	/** What it says, without the part's prefix. */
	readonly sentence: string;
	/** The part that wrote it, as in `callers`; empty where none did. */
	readonly part: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

const schema = z.looseObject({hostname: z.string(), time: z.string(), msg: z.string()});

/** Reads a line, which may have anything before its JSON, as log collectors put it there; undefined where it is no line of a proxy. */
export function parseLogEvent(line: string): LogEvent | undefined {
	const start = line.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	const read = schema.safeParse(parseJson(line.slice(start)));
	const at = read.success ? Date.parse(read.data.time) : Number.NaN;
	if (!read.success || Number.isNaN(at)) {
		return undefined;
	}

	const {hostname, msg, ...fields} = read.data;
	const [, part = '', sentence = msg] = /^([a-z]+): (.*)$/sv.exec(msg) ?? [];
	return {
		at, host: hostname, sentence, part, fields,
	};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
