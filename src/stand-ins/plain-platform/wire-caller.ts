import {connect} from 'node:net';
import {createLineReader} from '../../platform/line-reader.js';

/** A caller that speaks the platform's lines to a proxy. */
export type WireCaller = {
	/** The lines of the answer to the start of the session, or of its refusal. */
	readonly greeting: readonly string[];
	/** Sends a statement and resolves with the lines of its answer; without the last one where the connection ended. */
	ask(id: string, text: string): Promise<readonly string[]>;
	/** Sends bytes as they are. */
	send(text: string): void;
	leave(): void;
	readonly closed: boolean;
	/** What the host sent while nothing was under way, upon which the caller closes its session; undefined where it sent nothing. */
	readonly unasked: string | undefined;
	/** Resolves once the connection has ended. */
	whenClosed(): Promise<void>;
};

/** How an answer ended, as a caller takes it. */
export type WireOutcome = 'done' | 'not-run' | 'unknown';

/** Reads the first row of an answer, undefined where it has none. */
export function getFirstRow(lines: readonly string[]): string | undefined {
	return lines[0]?.startsWith('DATAROW ') ? lines[0].slice('DATAROW '.length) : undefined;
}

/** Reads whether an answer says that a write was done, or promises that nothing of it is kept. */
export function getOutcome(lines: readonly string[]): WireOutcome {
	if (lines.some(line => line.startsWith('COMPLETE '))) {
		return 'done';
	}

	return lines.some(line => /^ERROR (?:BUSY|ABORTED|LAGGING|READONLY|WRONGNODE|CONNLIMIT) /v.test(line)) ? 'not-run' : 'unknown';
}

/** Opens a session, showing a key where the route needs one. */
export async function openWireCaller(port: number, database: string, key = 'caller'): Promise<WireCaller> {
	const socket = connect({host: '127.0.0.1', port, noDelay: true});
	const reader = createLineReader();
	let closed = false;
	let lines: string[] = [];
	let take: ((answer: readonly string[]) => void) | undefined;
	let unasked: string | undefined;

	const finish = () => {
		const answer = lines;
		lines = [];
		take?.(answer);
		take = undefined;
	};

	socket.setEncoding('latin1');
	socket.on('data', (chunk: string) => {
		for (const line of reader.push(chunk) ?? []) {
			if (!take) {
				unasked ??= line;
				socket.end('TERMINATE\r\n');
				continue;
			}

			lines.push(line);
			if (line.startsWith('READY ')) {
				finish();
			}
		}
	});
	socket.on('error', () => {
		socket.destroy();
	});
	const ended = new Promise<void>(resolve => {
		socket.on('close', () => {
			closed = true;
			finish();
			resolve();
		});
	});

	const exchange = async (text: string) => {
		if (closed) {
			return [];
		}

		const answered = new Promise<readonly string[]>(resolve => {
			take = resolve;
		});
		socket.write(text, 'latin1');
		return answered;
	};

	return {
		greeting: await exchange(`STARTUP ${database} ${key}\r\n`),
		ask: async (id, text) => exchange(`QUERY ${id} ${text}\r\n`),
		send(text) {
			socket.write(text, 'latin1');
		},
		leave() {
			socket.destroy();
		},
		get closed() {
			return closed;
		},
		get unasked() {
			return unasked;
		},
		whenClosed: async () => ended,
	};
}
