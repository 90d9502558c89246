import {once} from 'node:events';
import type {Socket} from 'node:net';
import type {CallerChannel, CallerRequest} from '../gateway/caller-channel.js';
import {
	formatCallerAnswer, formatEnd, formatReady, parseCallerLine,
} from './caller-lines.js';
import {createLineReader} from './line-reader.js';

/** A caller that sends ahead is read no further with so many requests waiting. */
const MOST_WAITING = 4;

/** How long a connection that was ended may stay half open, in milliseconds; the balancer's own clients close at once. */
const LINGER_MS = 2000;

/** Is told of a request that came once its session had ended, and so gets no answer. */
export type LateRequestListener = (req: CallerRequest, caller: string) => void;

/** Creates the channel of one connection. */
export function createTcpCallerChannel(socket: Socket, onLate: LateRequestListener = () => undefined): CallerChannel {
	const reader = createLineReader();
	const name = `${socket.remoteAddress}:${socket.remotePort}`;
	const requests: CallerRequest[] = [];
	const leftListeners: Array<() => void> = [];
	let left = false;
	let closed = false;
	let wake: (() => void) | undefined;

	const wakeReader = () => {
		wake?.();
		wake = undefined;
	};

	const waitForMore = async () => new Promise<void>(resolve => {
		wake = resolve;
	});

	const noteLeft = () => {
		if (left) {
			return;
		}

		left = true;
		wakeReader();
		for (const listener of leftListeners) {
			listener();
		}
	};

	socket.setEncoding('latin1');
	socket.setNoDelay(true);
	const read = (chunk: string): readonly CallerRequest[] => reader.push(chunk)?.map(line => parseCallerLine(line)) ?? [{kind: 'too-large'}];

	socket.on('data', (chunk: string) => {
		const came = read(chunk);
		// A request that crosses the end of the connection can get no answer any more, so it must not be run either.
		if (closed) {
			for (const late of came.filter(({kind}) => kind !== 'end')) {
				onLate(late, name);
			}

			return;
		}

		requests.push(...came);
		if (requests.length >= MOST_WAITING) {
			socket.pause();
		}

		wakeReader();
	});
	socket.on('end', noteLeft);
	// A broken connection says no more than a closed one: the caller has left.
	socket.on('error', noteLeft);
	socket.on('close', noteLeft);

	const write = async (text: string) => {
		if (!socket.writable || socket.write(text, 'latin1')) {
			return;
		}

		const abort = new AbortController();
		leftListeners.push(() => {
			abort.abort();
		});
		await once(socket, 'drain', {signal: abort.signal}).catch(() => undefined);
	};

	return {
		name,
		get left() {
			return left;
		},
		get waiting() {
			return requests.length > 0;
		},
		async next() {
			while (requests.length === 0 && !left && !closed) {
				await waitForMore();
			}

			const req = requests.shift();
			if (requests.length === 0 && socket.isPaused()) {
				socket.resume();
			}

			return req;
		},
		greet() {
			void write(formatReady('idle'));
		},
		async answer({rows, end, position}, state) {
			await write(formatCallerAnswer(rows, end, state, position));
		},
		refuse(code, reason) {
			void write(formatEnd({kind: 'error', code, text: reason}));
		},
		endRefusal(state) {
			void write(formatReady(state));
		},
		close() {
			closed = true;
			requests.length = 0;
			wakeReader();
			socket.end();
			// Reading on keeps a late request of the caller from turning the end into a reset, which could overtake the last answer.
			socket.resume();
			socket.setTimeout(LINGER_MS, () => socket.destroy());
		},
	};
}
