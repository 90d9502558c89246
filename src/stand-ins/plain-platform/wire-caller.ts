import {connect} from 'node:net';
import {createLineReader} from '../../platform/line-reader.js';

/** A caller that uses the platform's line protocol on a connection to a proxy. */
export type WireCaller = {
	/** The lines of the answer to `STARTUP`, or of its refusal. */
	readonly greeting: readonly string[];
	/** Sends a statement and resolves with the lines of its answer, which is incomplete where the connection ended. */
	ask(id: string, text: string): Promise<readonly string[]>;
	/** Sends a text unchanged. */
	send(text: string): void;
	leave(): void;
	readonly closed: boolean;
	/** First line that the host sent while no request was in progress, after which the caller terminates its session; undefined where there was none. */
	readonly unsolicited: string | undefined;
	/** Resolves once the connection has ended. */
	whenClosed(): Promise<void>;
};

/** The outcome of a write, as its caller knows it from the answer. */
export type WireOutcome = 'done' | 'not-run' | 'unknown';

/** Returns the first row of an answer; undefined where it has none. */
export function getFirstRow(lines: readonly string[]): string | undefined {
	return lines[0]?.startsWith('DATAROW ') ? lines[0].slice('DATAROW '.length) : undefined;
}

/** Returns the outcome of a write from its answer: done, not run where the error code guarantees that nothing of it is kept, otherwise unknown. */
export function getOutcome(lines: readonly string[]): WireOutcome {
	if (lines.some(line => line.startsWith('COMPLETE '))) {
		return 'done';
	}

	return lines.some(line => /^ERROR (?:BUSY|ABORTED|LAGGING|READONLY|WRONGNODE|CONNLIMIT) /v.test(line)) ? 'not-run' : 'unknown';
}

/** Opens a session with a key, which some routes require. Resolves once the host has answered; the session may have been refused. */
export async function openWireCaller(port: number, database: string, key = 'caller'): Promise<WireCaller> {
	const socket = connect({host: '127.0.0.1', port, noDelay: true});
	const reader = createLineReader();
	let closed = false;
	let lines: string[] = [];
	let pendingExchange: ((answer: readonly string[]) => void) | undefined;
	let firstUnsolicited: string | undefined;

	const resolveExchange = () => {
		const answer = lines;
		lines = [];
		pendingExchange?.(answer);
		pendingExchange = undefined;
	};

	socket.setEncoding('latin1');
	socket.on('data', (chunk: string) => {
		for (const line of reader.push(chunk) ?? []) {
			if (!pendingExchange) {
				firstUnsolicited ??= line;
				socket.end('TERMINATE\r\n');
				continue;
			}

			lines.push(line);
			if (line.startsWith('READY ')) {
				resolveExchange();
			}
		}
	});
	socket.on('error', () => {
		socket.destroy();
	});
	const ended = new Promise<void>(resolve => {
		socket.on('close', () => {
			closed = true;
			resolveExchange();
			resolve();
		});
	});

	const exchange = async (text: string) => {
		if (closed) {
			return [];
		}

		const answered = new Promise<readonly string[]>(resolve => {
			pendingExchange = resolve;
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
		get unsolicited() {
			return firstUnsolicited;
		},
		whenClosed: async () => ended,
	};
}
