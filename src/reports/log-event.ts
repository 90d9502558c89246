import * as z from 'zod';

/** One line of a proxy's log. */
export type LogEvent = {
	/** Time at which the line was written, by that host's clock, in milliseconds since the epoch. */
	readonly at: number;
	readonly host: string;
	/** The message without the component's prefix. */
	readonly sentence: string;
	/** The component that wrote the line, such as `callers`. Empty if the message has no prefix. */
	readonly part: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

const schema = z.looseObject({hostname: z.string(), time: z.string(), msg: z.string()});

/** Parses a line. Text before its JSON, as log collectors add it, is skipped. Returns undefined if it is not a line of a proxy. */
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
