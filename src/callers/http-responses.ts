import type {FastifyReply} from 'fastify';
import type {Log} from '../log/log.js';
import {CallerOperation, type Metrics} from '../metrics/metrics.js';
import type {WorkClass} from '../groups/group-config.js';
import type {Clock} from '../time/clock.js';
import {Outcome, type CallerResponse} from './caller-response.js';
import {toCallerError} from './caller-errors.js';
import {
	ABANDONED_REFUSAL, HOST_FAULT_REFUSAL, LEAVING_REFUSAL, type RequestSummary, type HttpRefusals,
} from './http-refusals.js';
import {getHttpStatus, getRetryAfterSeconds} from './http-status.js';
import type {InFlight} from './in-flight.js';

/** Header that carries a session's token in requests and responses. */
export const SESSION_HEADER = 'aldercroft-session';

/** Content type of every response. */
export const JSON_TYPE = 'application/json; charset=utf-8';

/** Options of {@link createHttpResponses}. */
export type HttpResponsesOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly refuse: HttpRefusals;
	/** Counts the requests that are served. */
	readonly inProgress: InFlight;
	/** Whether new work is refused. */
	readonly isLeaving: () => boolean;
	/** Whether every request is refused. */
	readonly isClosing: () => boolean;
	/** Resolves when the port is closed to further connections. */
	readonly whenPortClosed: () => Promise<void>;
	/** Whether no later request has arrived on the response's connection. */
	readonly isLastOnConnection: (reply: FastifyReply) => boolean;
};

/** A valid request that the entry is to run. */
export type ServedRequest = RequestSummary & {
	readonly asked: CallerOperation;
	readonly class?: WorkClass;
	/** An earlier submission of it may have been accepted. */
	readonly mayBeRepeat?: boolean;
	/** Belongs to a transaction in progress, whose requests a leaving host accepts until it begins to close its port. */
	readonly isContinuation?: boolean;
};

/** Responds to callers over HTTP. */
export type HttpResponses = {
	/** Runs a request by `callEntry`, sets status and headers, and resolves with the body. */
	serve(reply: FastifyReply, req: ServedRequest, callEntry: () => Promise<CallerResponse>): Promise<string>;
	/** Responds to a request that failed before the entry was called: sets status and headers and returns the body. */
	fail(reply: FastifyReply, req: RequestSummary, err: unknown): string;
	/** Refuses a request that no handler has received, because this host is leaving: sets status and headers and returns the body. */
	refuseUnhandled(reply: FastifyReply, req: RequestSummary): string;
	/** Responds to every request in progress with `unknown` at once; the entry's later response to it is dropped. */
	abandonAll(): void;
};

/** Creates the part of the caller port that responds to requests. */
export function createHttpResponses(options: HttpResponsesOptions): HttpResponses {
	const {
		clock, log, metrics, refuse, inProgress, isLeaving, isClosing, isLastOnConnection, whenPortClosed,
	} = options;
	const abandonCallbacks = new Set<() => void>();

	const prepare = (reply: FastifyReply, response: CallerResponse, status = getHttpStatus(response)) => {
		const {refusal, session} = response;
		// A response that closes its connection would lose the responses to later requests on it, which may be in progress.
		if (isLeaving() && isLastOnConnection(reply)) {
			void reply.header('connection', 'close');
		}

		if (session !== undefined) {
			void reply.header(SESSION_HEADER, session);
		}

		if (refusal) {
			metrics.countRefusal(refusal.code);
		}

		if (refusal?.retryAfterMs !== undefined) {
			void reply.header('retry-after', getRetryAfterSeconds(refusal.retryAfterMs));
		}

		void reply.code(status).header('content-type', JSON_TYPE);
		return toJson(response);
	};

	/**
	 * Guards against work that takes longer than the host keeps running: its caller's connection would be closed without a
	 * response. A caller that receives `unknown` knows that it may request the outcome from another host at once.
	 */
	const callUntilAbandoned = async (req: ServedRequest, callEntry: () => Promise<CallerResponse>) => new Promise<CallerResponse>((resolve, reject) => {
		const abandon = () => {
			resolve(refuse(req, Outcome.Unknown, ABANDONED_REFUSAL));
		};

		abandonCallbacks.add(abandon);
		const forget = () => abandonCallbacks.delete(abandon);
		const response = callEntry();
		response.then(resolve, reject);
		response.then(forget, forget);
	});

	const callOrRefuse = async (req: ServedRequest, callEntry: () => Promise<CallerResponse>) => {
		// Guards against work that begins when its connection is about to be closed: it would run and its caller get no response.
		if (isClosing() || (isLeaving() && !req.isContinuation)) {
			// Guards against callers that retry at once: while each refusal causes a new connection, there is always one waiting
			// to be accepted, and closing the port resets those. So requests in the final phase are refused once the port is closed.
			await (isClosing() ? whenPortClosed() : undefined);
			return refuse(req, req.mayBeRepeat ? Outcome.Unknown : getRefusedOutcome(req), LEAVING_REFUSAL);
		}

		try {
			return await callUntilAbandoned(req, callEntry);
		} catch (err) {
			log.error('the entry failed to answer', {err, requestId: req.requestId});
			return refuse(req, Outcome.Unknown, HOST_FAULT_REFUSAL);
		}
	};

	return {
		async serve(reply, req, callEntry) {
			const startedAt = clock.now();
			const leave = inProgress.enter();
			try {
				const response = await callOrRefuse(req, callEntry);
				const seconds = (clock.now() - startedAt) / 1000;
				metrics.observeRequest({
					kind: req.asked, class: req.class, outcome: response.outcome, seconds,
				});
				return prepare(reply, response);
			} finally {
				leave();
			}
		},
		fail(reply, req, err) {
			const callerError = toCallerError(err);
			if (!callerError) {
				log.error('the caller port failed', {err});
				return prepare(reply, refuse(req, Outcome.Unknown, HOST_FAULT_REFUSAL));
			}

			const {code, message: reason, status} = callerError;
			return prepare(reply, refuse(req, getRefusedOutcome(req), {code, reason, facts: {}}), status);
		},
		refuseUnhandled: (reply, req) => prepare(reply, refuse(req, getRefusedOutcome(req), LEAVING_REFUSAL)),
		abandonAll() {
			for (const abandon of abandonCallbacks) {
				abandon();
			}
		},
	};
}

/** A refused query for another request's outcome proves nothing about that request, so `not-run` would be wrong. */
function getRefusedOutcome(req: RequestSummary): Outcome {
	return req.asked === CallerOperation.Outcome ? Outcome.Unknown : Outcome.NotRun;
}

/** Encodes a response. A row may hold a bigint, which JSON cannot represent; failing would lose the response to a write that ran. */
function toJson(response: CallerResponse): string {
	try {
		return JSON.stringify(response);
	} catch {
		return JSON.stringify(response, (_key, value: unknown) => typeof value === 'bigint' ? value.toString() : value);
	}
}
