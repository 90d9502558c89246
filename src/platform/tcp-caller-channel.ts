import {once} from 'node:events';
import type {Socket} from 'node:net';
import type {CallerChannel, CallerRequest} from '../gateway/caller-channel.js';
import {
	formatCallerAnswer, formatAnswerEnd, formatReady, parseCallerLine,
} from './caller-lines.js';
import {createLineReader} from './line-reader.js';

/** Once this many requests of a pipelining caller are queued, the channel stops reading from its socket. */
const MAX_QUEUED_REQUESTS = 4;

/** How long a connection that this host ended may stay half open, in milliseconds; the balancer's own clients close at once. */
const HALF_OPEN_TIMEOUT_MS = 2000;

/** Called with a request that arrives after its session has ended and therefore gets no answer. */
export type LateRequestListener = (req: CallerRequest, caller: string) => void;

/** Creates the channel of one caller's connection. */
export function createTcpCallerChannel(socket: Socket, onLate: LateRequestListener = () => undefined): CallerChannel {
	const reader = createLineReader();
	const name = `${socket.remoteAddress}:${socket.remotePort}`;
	const requests: CallerRequest[] = [];
	const leftListeners: Array<() => void> = [];
	let left = false;
	let closed = false;
	let resolveWaiting: (() => void) | undefined;

	const wakeReader = () => {
		resolveWaiting?.();
		resolveWaiting = undefined;
	};

	const waitForMore = async () => new Promise<void>(resolve => {
		resolveWaiting = resolve;
	});

	const markLeft = () => {
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
		const received = read(chunk);
		// A request that arrives after this host has ended the connection cannot be answered, so it must not be run either.
		if (closed) {
			for (const late of received.filter(({kind}) => kind !== 'end')) {
				onLate(late, name);
			}

			return;
		}

		requests.push(...received);
		if (requests.length >= MAX_QUEUED_REQUESTS) {
			socket.pause();
		}

		wakeReader();
	});
	socket.on('end', markLeft);
	// A broken connection is treated like a closed one: the caller has left.
	socket.on('error', markLeft);
	socket.on('close', markLeft);

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
			void write(formatAnswerEnd({kind: 'error', code, text: reason}));
		},
		endRefusal(state) {
			void write(formatReady(state));
		},
		close() {
			closed = true;
			requests.length = 0;
			wakeReader();
			socket.end();
			// Without further reading, a late request of the caller would turn the end of the connection into a reset, which could reach the caller before the last answer.
			socket.resume();
			socket.setTimeout(HALF_OPEN_TIMEOUT_MS, () => socket.destroy());
		},
	};
}
