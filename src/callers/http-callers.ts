import type {IncomingMessage} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {fastify, type FastifyInstance, type FastifyReply} from 'fastify';
import type {Log} from '../log/log.js';
import type {Metrics} from '../metrics/metrics.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import {Outcome} from './caller-response.js';
import {MAX_BODY_BYTES, parseBody} from './caller-body.js';
import {throwMalformed} from './caller-errors.js';
import type {Callers} from './callers.js';
import type {Entry} from './entry.js';
import {createHttpResponses, JSON_TYPE} from './http-responses.js';
import {createIncompleteHeads} from './incomplete-heads.js';
import {
	createHttpRefusals, LEAVING_REFUSAL, type HttpRefusals, type HttpRefusalsOptions,
} from './http-refusals.js';
import {addHttpRoutes, summarizeRequest} from './http-routes.js';
import {createInFlight} from './in-flight.js';
import {createFinalRead} from './final-read.js';

/** How long a caller may take to send one request, in milliseconds. */
const REQUEST_ARRIVAL_MS = 30_000;

/** How long a connection may stay idle, in milliseconds; longer than the balancer keeps one, so that the balancer closes first. */
const KEEP_ALIVE_MS = 75_000;

/** Time between a drain's checks of the open transactions, in milliseconds. */
const TRANSACTIONS_POLL_MS = 20;

/** Options of {@link createHttpCallers}. */
export type HttpCallersOptions = HttpRefusalsOptions & {
	readonly entry: Entry;
	readonly log: Log;
	readonly metrics: Metrics;
	/** IP address to listen on. */
	readonly address: string;
	/** Port to listen on; 0 chooses any free one. */
	readonly port: number;
	/** Maximum duration of the drain in `stop`, in milliseconds. */
	readonly drainMs: number;
	/** Returns how many transactions are open on this host; a drain waits for them. */
	readonly countOpenTransactions?: () => number;
};

/** Creates the port for callers: HTTP/1.1 and JSON in front of the entry. */
export function createHttpCallers(options: HttpCallersOptions): Callers {
	const {clock, log, countOpenTransactions = () => 0} = options;
	// `arrived` counts requests from their complete head until their response is written or their connection closes,
	// `inProgress` counts their work, which continues after a caller has closed its connection.
	const arrived = createInFlight();
	const inProgress = createInFlight();
	/** Responses to requests whose body has not arrived completely. */
	const arriving = new Set<FastifyReply>();
	const latestRequests = new WeakMap<Socket, IncomingMessage>();
	const countInFlight = () => Math.max(arrived.count, inProgress.count);
	let isLeaving = false;
	let isClosing = false;
	const refuse = createHttpRefusals(options);
	const responses = createHttpResponses({
		...options, refuse, inProgress, isLeaving: () => isLeaving, isClosing: () => isClosing,
		isLastOnConnection: ({request: {raw}}) => latestRequests.get(raw.socket) === raw,
		whenPortClosed: async () => finalRead.portClosed,
	});
	const app = createApp(refuse);
	const incompleteHeads = createIncompleteHeads(app.server);
	const finalRead = createFinalRead({server: app.server, clock, isAnswering: () => arrived.count > 0});

	app.addHook('onRequest', ({raw}, reply, done) => {
		latestRequests.set(raw.socket, raw);
		arriving.add(reply);
		const leave = arrived.enter();
		const {socket} = raw;
		incompleteHeads.noteHead(socket);
		reply.raw.once('close', () => {
			arriving.delete(reply);
			if (latestRequests.get(socket) === raw) {
				incompleteHeads.noteAnswered(socket);
			}

			leave();
		});
		done();
	});
	app.addHook('preValidation', (_req, reply, done) => {
		arriving.delete(reply);
		done();
	});
	app.setErrorHandler(async (err, req, reply) => responses.fail(reply, summarizeRequest(req), err));
	app.setNotFoundHandler(async req => {
		throwMalformed(`route ${req.method} ${req.url.split('?')[0]}: unknown`, 404);
	});
	addHttpRoutes(app, {...options, responses});

	const waitForEnd = async (abort: AbortSignal) => {
		while (countOpenTransactions() > 0 && !abort.aborted) {
			await clock.sleep(TRANSACTIONS_POLL_MS, abort);
		}

		await inProgress.whenIdle();
		await arrived.whenIdle();
	};

	const drain = async (boundMs: number) => {
		isLeaving = true;
		const abort = new AbortController();
		const ended = await withinMs(clock, boundMs, waitForEnd(abort.signal));
		abort.abort();
		if (ended.timedOut) {
			log.warn('work did not end within the bound', {boundMs, inFlight: countInFlight(), transactions: countOpenTransactions()});
		}
	};

	const refuseArriving = () => {
		for (const reply of arriving) {
			void reply.send(responses.refuseUnhandled(reply, summarizeRequest(reply.request)));
		}

		for (const socket of incompleteHeads.getSockets()) {
			respondOnSocket(socket, '503 Service Unavailable', JSON.stringify(refuse({asked: 'unclear'}, Outcome.NotRun, LEAVING_REFUSAL)));
		}
	};

	/** Responds to every caller before its connection is closed: to those whose work exceeds the bound and to those not yet read. */
	const respondBeforeClosing = async () => {
		isClosing = true;
		responses.abandonAll();
		await finalRead.read();
		if (arriving.size > 0 || incompleteHeads.getSockets().length > 0) {
			refuseArriving();
			await finalRead.read();
		}
	};

	return {
		async start() {
			await app.listen({host: options.address, port: options.port});
		},
		async stop() {
			await drain(options.drainMs);
			await respondBeforeClosing();
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
			respondToInvalidHttp(refuse, err, socket);
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

/** Responds to bytes that are not HTTP; there is no request to reply to, only the socket. */
function respondToInvalidHttp(refuse: HttpRefusals, err: NodeJS.ErrnoException, socket: Socket): void {
	if (err.code === 'ECONNRESET' || !socket.writable) {
		socket.destroy(err);
		return;
	}

	respondOnSocket(socket, '400 Bad Request', createMalformedJson(refuse, 'not HTTP/1.1, or not sent in time'));
}

function respondOnSocket(socket: Socket, status: string, body: string): void {
	const head = [
		`HTTP/1.1 ${status}`,
		`content-type: ${JSON_TYPE}`,
		`content-length: ${body.length}`,
		'connection: close',
	];
	socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}
