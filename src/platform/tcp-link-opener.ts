import {connect, type Socket} from 'node:net';
import type {
	EndpointLink, EndpointRequest, LinkListener, LinkOpener, LinkTarget,
} from '../links/endpoint-link.js';
import {LinkFault} from '../links/link-fault.js';
import type {LinkMetrics} from '../links/link-metrics.js';
import {createLinkLost, createLinkRefused, throwUnexpectedAnswer} from '../links/link-errors.js';
import type {Log} from '../log/log.js';
import {SessionState} from '../statements/statement.js';
import {
	AnswerCode, isOverloaded, type AnswerEnd, type EndpointAnswer,
} from '../statements/statement-answer.js';
import type {LogPosition} from '../terms/log-position.js';
import {withinMs} from '../time/deadline.js';
import type {Clock} from '../time/clock.js';
import {formatRequest, formatStartup, parseStatusRow} from './endpoint-lines.js';
import {createLineReader, LINE_END, MAX_LINE_BYTES} from './line-reader.js';
import {parseCode, parseState} from './wire-codes.js';
import {parsePosition} from './position-text.js';

/** Options of the opener. */
export type TcpLinkOpenerOptions = {
	readonly clock: Clock;
	/** Sent to endpoints as the name of whom the connection is for, where it is not for a workspace. */
	readonly hostName: string;
	readonly log?: Log;
	readonly metrics?: LinkMetrics;
};

type Waiter = {
	resolve(answer: EndpointAnswer): void;
	reject(err: unknown): void;
};

/** Opens links to endpoints over TCP. */
export function createTcpLinkOpener({clock, hostName, log: parentLog, metrics}: TcpLinkOpenerOptions): LinkOpener {
	const log = parentLog?.withPrefix('endpoints: ');
	const noteFault = ({address, group, endpointId}: LinkTarget, fault: LinkFault) => {
		metrics?.countLinkFault(fault);
		log?.warn('a connection is cut because of what its endpoint sent', {
			endpoint: endpointId, group, address, fault,
		});
	};

	return {
		async open(target, timeoutMs, listener) {
			const [host, port] = splitAddress(target.address);
			const socket = connect({host, port, noDelay: true});
			const opening = createTcpLink(socket, target, {
				listener,
				onFault(fault) {
					noteFault(target, fault);
				},
				onUnsent: metrics?.countUnsent,
			});
			socket.write(formatStartup(target.group, target.workspace ?? hostName, target.endpointId), 'latin1');
			const bounded = await withinMs(clock, timeoutMs, opening);
			if (bounded.timedOut) {
				socket.resetAndDestroy();
				throw createLinkLost(target.address, `not open within ${timeoutMs} ms`);
			}

			return bounded.value;
		},
	};
}

/** Splits `ip:port` into the IP address and the port. */
export function splitAddress(address: string): [string, number] {
	const colon = address.lastIndexOf(':');
	return [address.slice(0, colon), Number(address.slice(colon + 1))];
}

type TcpLinkEvents = {
	readonly listener: LinkListener;
	onFault(fault: LinkFault): void;
	onUnsent?(): void;
};

async function createTcpLink(socket: Socket, target: LinkTarget, {listener, onFault, onUnsent}: TcpLinkEvents): Promise<EndpointLink> {
	const {address} = target;
	const reader = createLineReader();
	const waiters: Waiter[] = [];
	const closeListeners: Array<() => void> = [];
	let closed = false;
	let firstPosition: LogPosition | undefined;
	let rows: string[] = [];
	let end: AnswerEnd | undefined;
	let lastState: SessionState = SessionState.Idle;

	const failLink = (reason: string, cause?: unknown) => {
		if (closed) {
			return;
		}

		closed = true;
		for (const waiter of waiters.splice(0)) {
			waiter.reject(createLinkLost(address, reason, cause));
		}

		for (const listener of closeListeners) {
			listener();
		}
	};

	/** Fails the link and resets its socket. An answer that is incomplete or matches no request must end the link, so that no caller gets another caller's rows. */
	const failAndReset = (reason: string, fault?: LinkFault) => {
		if (fault && !closed) {
			onFault(fault);
		}

		failLink(reason);
		socket.resetAndDestroy();
	};

	const finishAnswer = (line: string) => {
		const [, letter = '', positionText = ''] = line.split(' ');
		const state = parseState(letter);
		const waiter = waiters.shift();
		if (!waiter || !end || !state) {
			waiter?.reject(createLinkLost(address, 'an answer that is incomplete or matches no request'));
			failAndReset('an answer that is incomplete or matches no request', LinkFault.Incomplete);
			return;
		}

		const answer = {
			rows, end, state, position: parsePosition(positionText),
		};
		rows = [];
		end = undefined;
		lastState = state;
		listener.onAnswered(isOverloaded(answer));
		waiter.resolve(answer);
	};

	const handleLine = (line: string) => {
		if (waiters.length === 0) {
			// The rows and the end of an answer that nobody waits for would be taken for those of the next request.
			failAndReset('an answer that matches no request', line.startsWith('ERROR ') ? LinkFault.UnaskedError : LinkFault.Unmatched);
		} else if (line.startsWith('DATAROW ')) {
			rows.push(line.slice('DATAROW '.length));
		} else if (line.startsWith('COMPLETE ')) {
			end = {kind: 'complete', signature: line.slice('COMPLETE '.length)};
		} else if (line.startsWith('ERROR ')) {
			end = parseError(line);
		} else if (line.startsWith('READY ')) {
			finishAnswer(line);
		} else {
			failAndReset('an unknown kind of line', LinkFault.UnknownLine);
		}
	};

	const link: EndpointLink = {
		get firstPosition() {
			return firstPosition;
		},
		get pending() {
			return waiters.length;
		},
		get closed() {
			return closed;
		},
		async exchange(req) {
			if (closed) {
				throw createLinkLost(address, 'it had ended before');
			}

			const line = formatRequest(req);
			const bytes = line.length - LINE_END.length;
			if (bytes > MAX_LINE_BYTES) {
				onUnsent?.();
				return createTooLarge(lastState, bytes, formatRequest({...req, floor: undefined}).length <= MAX_LINE_BYTES + LINE_END.length);
			}

			listener.onSent();
			return new Promise((resolve, reject) => {
				waiters.push({resolve, reject});
				socket.write(line, 'latin1');
			});
		},
		async readStatus(req: EndpointRequest) {
			const answer = await link.exchange(req);
			return parseStatusRow(answer.rows[0] ?? '') ?? throwUnexpectedAnswer(address, req.command.kind);
		},
		cut() {
			failAndReset('cut by this host');
		},
		close() {
			failLink('closed by this host');
			socket.end('TERMINATE\r\n');
			// An endpoint that never closes its side must not keep the file descriptor open.
			socket.setTimeout(CLOSE_TIMEOUT_MS, () => socket.resetAndDestroy());
		},
		onClose(listener) {
			closeListeners.push(listener);
		},
	};

	return new Promise((resolve, reject) => {
		let opened = false;
		const open = (line: string) => {
			const [kind, detail = '', positionText = ''] = line.split(' ');
			if (kind === 'READY') {
				opened = true;
				firstPosition = parsePosition(positionText);
				resolve(link);
				return;
			}

			reject(kind === 'ERROR' ? createLinkRefused(address, parseCode(detail)) : createLinkLost(address, 'an unknown response to the startup message'));
			socket.destroy();
		};

		socket.setEncoding('latin1');
		socket.on('data', (chunk: string) => {
			const lines = reader.push(chunk);
			if (!lines) {
				failAndReset('a line over the limit', LinkFault.TooLong);
				return;
			}

			for (const line of lines) {
				if (opened) {
					handleLine(line);
				} else {
					open(line);
				}
			}

			listener.onReceived();
		});
		socket.on('error', err => {
			reject(createLinkLost(address, err.message, err));
			failLink(err.message, err);
		});
		socket.on('close', () => {
			reject(createLinkLost(address, 'it was closed'));
			failLink('the endpoint closed it');
		});
	});
}

/** How long a closed link may take to end, in milliseconds; endpoints wait as long for a peer that does not respond. */
const CLOSE_TIMEOUT_MS = 3000;

/** Creates the answer to a request that is not sent: with the log position before it, a read of nearly the maximum size is over that size, and the endpoint would end the connection. */
function createTooLarge(state: SessionState, bytes: number, fitsWithoutFloor: boolean): EndpointAnswer {
	return {
		rows: [],
		end: {
			kind: 'error', code: AnswerCode.TooLarge, text: `the endpoint would receive ${bytes} bytes, more than a message may have; nothing ran`, isOwn: true,
		},
		state,
		unsent: true,
		...(fitsWithoutFloor && {fitsWithoutFloor}),
	};
}

function parseError(line: string): AnswerEnd {
	const [, codeName = '', ...text] = line.split(' ');
	return {kind: 'error', code: parseCode(codeName), text: text.join(' ')};
}

