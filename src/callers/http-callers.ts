import type {IncomingMessage} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {fastify, type FastifyInstance, type FastifyReply} from 'fastify';
import type {Log} from '../log/log.js';
import type {Metrics} from '../metrics/metrics.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import {Outcome} from './caller-answer.js';
import {MAX_BODY_BYTES, parseBody} from './caller-body.js';
import {throwMalformed} from './caller-errors.js';
import type {Callers} from './callers.js';
import type {Entry} from './entry.js';
import {createHttpAnswers, JSON_TYPE} from './http-answers.js';
import {createHalfHeads} from './half-heads.js';
import {
	createHttpRefusals, LEAVING_REFUSAL, type HttpRefusals, type HttpRefusalsOptions,
} from './http-refusals.js';
import {addHttpRoutes, getAskedRequest} from './http-routes.js';
import {createInFlight} from './in-flight.js';
import {createLastReading} from './last-reading.js';

/** How long a caller may take to send one request, in milliseconds. */
const REQUEST_ARRIVAL_MS = 30_000;

/** How long a connection may stay idle; longer than the balancer keeps one, so that the balancer closes first. */
const KEEP_ALIVE_MS = 75_000;

/** How often a drain looks at the open transactions, in milliseconds. */
const TRANSACTIONS_POLL_MS = 20;

/** What the caller port needs. */
export type HttpCallersOptions = HttpRefusalsOptions & {
	readonly entry: Entry;
	readonly log: Log;
	readonly metrics: Metrics;
	/** IP number to listen on. */
	readonly address: string;
	/** Port to listen on; 0 takes any. */
	readonly port: number;
	/** Bound of the drain in `stop`, in milliseconds. */
	readonly drainMs: number;
	/** How many transactions are open on this host; a drain waits for them. */
	readonly countOpenTransactions?: () => number;
};

/** Creates the port for callers: HTTP/1.1 and JSON in front of the entry. */
export function createHttpCallers(options: HttpCallersOptions): Callers {
	const {clock, log, countOpenTransactions = () => 0} = options;
	// From a request's first byte to the last one of its answer; and its work, which outlives a caller that hangs up.
	const arrived = createInFlight();
	const working = createInFlight();
	/** Requests that have not arrived whole. */
	const arriving = new Set<FastifyReply>();
	const latest = new WeakMap<Socket, IncomingMessage>();
	const countInFlight = () => Math.max(arrived.count, working.count);
	let leaving = false;
	let ending = false;
	const refuse = createHttpRefusals(options);
	const answers = createHttpAnswers({
		...options, refuse, working, isLeaving: () => leaving, isEnding: () => ending,
		isLastOnConnection: ({request: {raw}}) => latest.get(raw.socket) === raw,
		whenPortClosed: async () => lastReading.portClosed,
	});
	const app = createApp(refuse);
	const halfHeads = createHalfHeads(app.server);
	const lastReading = createLastReading({server: app.server, clock, isAnswering: () => arrived.count > 0});

	app.addHook('onRequest', ({raw}, reply, done) => {
		latest.set(raw.socket, raw);
		arriving.add(reply);
		const leave = arrived.enter();
		const {socket} = raw;
		halfHeads.noteHead(socket);
		reply.raw.once('close', () => {
			arriving.delete(reply);
			if (latest.get(socket) === raw) {
				halfHeads.noteAnswered(socket);
			}

			leave();
		});
		done();
	});
	app.addHook('preValidation', (_req, reply, done) => {
		arriving.delete(reply);
		done();
	});
	app.setErrorHandler(async (err, req, reply) => answers.fail(reply, getAskedRequest(req), err));
	app.setNotFoundHandler(async req => {
		throwMalformed(`route ${req.method} ${req.url.split('?')[0]}: unknown`, 404);
	});
	addHttpRoutes(app, {...options, answers});

	const waitForEnd = async (abort: AbortSignal) => {
		while (countOpenTransactions() > 0 && !abort.aborted) {
			await clock.sleep(TRANSACTIONS_POLL_MS, abort);
		}

		await working.whenIdle();
		await arrived.whenIdle();
	};

	const drain = async (boundMs: number) => {
		leaving = true;
		const abort = new AbortController();
		const ended = await withinMs(clock, boundMs, waitForEnd(abort.signal));
		abort.abort();
		if (ended.timedOut) {
			log.warn('work did not end within the bound', {boundMs, inFlight: countInFlight(), transactions: countOpenTransactions()});
		}
	};

	const refuseArriving = () => {
		for (const reply of arriving) {
			void reply.send(answers.refuseUntaken(reply, getAskedRequest(reply.request)));
		}

		for (const socket of halfHeads.getSockets()) {
			answerOnSocket(socket, '503 Service Unavailable', JSON.stringify(refuse({asked: 'unclear'}, Outcome.NotRun, LEAVING_REFUSAL)));
		}
	};

	/** Has every caller told before its connection ends: those whose work outlasts the bound, and those yet unread. */
	const end = async () => {
		ending = true;
		answers.cut();
		await lastReading.read();
		if (arriving.size > 0 || halfHeads.getSockets().length > 0) {
			refuseArriving();
			await lastReading.read();
		}
	};

	return {
		async start() {
			await app.listen({host: options.address, port: options.port});
		},
		async stop() {
			await drain(options.drainMs);
			await end();
			app.server.closeAllConnections();
			await app.close();
		},
		drain,
		get inFlight() {
			return countInFlight();
		},
		get port() {
			return (app.server.address() as AddressInfo).port;
		},
	};
}

function createApp(refuse: HttpRefusals): FastifyInstance {
	const app = fastify({
		bodyLimit: MAX_BODY_BYTES,
		requestTimeout: REQUEST_ARRIVAL_MS,
		keepAliveTimeout: KEEP_ALIVE_MS,
		return503OnClosing: false,
		exposeHeadRoutes: false,
		forceCloseConnections: true,
		routerOptions: {maxParamLength: 256},
		frameworkErrors(err, _req, reply) {
			const {raw} = reply;
			raw.writeHead(400, {'content-type': JSON_TYPE});
			raw.end(createMalformedJson(refuse, err.message));
		},
		clientErrorHandler(err, socket) {
			answerBrokenHttp(refuse, err, socket);
		},
	});

	app.removeAllContentTypeParsers();
	app.addContentTypeParser('application/json', {parseAs: 'buffer'}, (_req, bytes, done) => {
		try {
			done(null, parseBody(bytes as Uint8Array));
		} catch (err) {
			done(err as Error);
		}
	});
	return app;
}

function createMalformedJson(refuse: HttpRefusals, reason: string): string {
	return JSON.stringify(refuse({asked: 'unclear'}, Outcome.NotRun, {code: RefusalCode.Malformed, reason, facts: {}}));
}

/** Answers bytes that are not HTTP; there is no request to reply to, only the socket. */
function answerBrokenHttp(refuse: HttpRefusals, err: NodeJS.ErrnoException, socket: Socket): void {
	if (err.code === 'ECONNRESET' || !socket.writable) {
		socket.destroy(err);
		return;
	}

	answerOnSocket(socket, '400 Bad Request', createMalformedJson(refuse, 'not HTTP/1.1, or not sent in time'));
}

function answerOnSocket(socket: Socket, status: string, body: string): void {
	const head = [
		`HTTP/1.1 ${status}`,
		`content-type: ${JSON_TYPE}`,
		`content-length: ${body.length}`,
		'connection: close',
	];
	socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}
