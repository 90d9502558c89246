import type {FastifyReply} from 'fastify';
import type {Log} from '../log/log.js';
import {AskedKind, type Metrics} from '../metrics/metrics.js';
import type {WorkClass} from '../groups/group-config.js';
import type {Clock} from '../time/clock.js';
import {Outcome, type CallerAnswer} from './caller-answer.js';
import {toCallerError} from './caller-errors.js';
import {
	CUT_REFUSAL, HOST_FAULT_REFUSAL, LEAVING_REFUSAL, type AskedRequest, type HttpRefusals,
} from './http-refusals.js';
import {getHttpStatus, getRetryAfterSeconds} from './http-status.js';
import type {InFlight} from './in-flight.js';

/** Header that carries a session's token both ways. */
export const SESSION_HEADER = 'aldercroft-session';

/** Content type of every answer. */
export const JSON_TYPE = 'application/json; charset=utf-8';

/** What answering over HTTP needs. */
export type HttpAnswersOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly refuse: HttpRefusals;
	/** Counts what the entry is asked. */
	readonly working: InFlight;
	/** Nothing new is taken any more. */
	readonly isLeaving: () => boolean;
	/** Nothing at all is taken any more. */
	readonly isEnding: () => boolean;
	/** Resolves when the port is closed to further connections. */
	readonly whenPortClosed: () => Promise<void>;
	/** Nothing else has come on the connection since. */
	readonly isLastOnConnection: (reply: FastifyReply) => boolean;
};

/** A request that passed its checks, on its way to the entry. */
export type ServedRequest = AskedRequest & {
	readonly asked: AskedKind;
	readonly class?: WorkClass;
	/** An earlier submission of it may have been taken. */
	readonly mayBeRepeat?: boolean;
	/** Belongs to work under way, which a leaving host still takes until its last reading. */
	readonly continues?: boolean;
};

/** Answers callers over HTTP. */
export type HttpAnswers = {
	/** Has the entry answer a request; sets status and headers and resolves with the body. */
	serve(reply: FastifyReply, req: ServedRequest, ask: () => Promise<CallerAnswer>): Promise<string>;
	/** Answers what failed before the entry was asked; sets status and headers and returns the body. */
	fail(reply: FastifyReply, req: AskedRequest, err: unknown): string;
	/** Refuses what no handler has taken, since this host leaves; sets status and headers and returns the body. */
	refuseUntaken(reply: FastifyReply, req: AskedRequest): string;
	/** Answers every request at work as unknown, now; what the entry says of it afterwards is dropped. */
	cut(): void;
};

/** Creates the answering side of the caller port. */
export function createHttpAnswers(options: HttpAnswersOptions): HttpAnswers {
	const {
		clock, log, metrics, refuse, working, isLeaving, isEnding, isLastOnConnection, whenPortClosed,
	} = options;
	const cuts = new Set<() => void>();

	const prepare = (reply: FastifyReply, answer: CallerAnswer, status = getHttpStatus(answer)) => {
		const {refusal, session} = answer;
		// An answer that closes its connection would take with it those to later requests on it, which may be at work.
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
		return toJson(answer);
	};

	/**
	 * Guards against work whose caller learns nothing, since it outlasts the host: its connection would be ended without an
	 * answer. A caller that reads `unknown` knows that it may ask another host for the outcome at once.
	 */
	const askUntilCut = async (req: ServedRequest, ask: () => Promise<CallerAnswer>) => new Promise<CallerAnswer>((resolve, reject) => {
		const cut = () => {
			resolve(refuse(req, Outcome.Unknown, CUT_REFUSAL));
		};

		cuts.add(cut);
		const forget = () => cuts.delete(cut);
		const answered = ask();
		answered.then(resolve, reject);
		answered.then(forget, forget);
	});

	const askOrRefuse = async (req: ServedRequest, ask: () => Promise<CallerAnswer>) => {
		// Guards against work that begins when its connection is about to be ended: it would run and its caller not be told.
		if (isEnding() || (isLeaving() && !req.continues)) {
			// Guards against callers that come back at once: while each refusal brings a new connection, the port never finds
			// none waiting, and closing it resets those that do. So what comes at the very end is refused after that.
			await (isEnding() ? whenPortClosed() : undefined);
			return refuse(req, req.mayBeRepeat ? Outcome.Unknown : getUntakenOutcome(req), LEAVING_REFUSAL);
		}

		try {
			return await askUntilCut(req, ask);
		} catch (err) {
			log.error('the entry failed to answer', {err, requestId: req.requestId});
			return refuse(req, Outcome.Unknown, HOST_FAULT_REFUSAL);
		}
	};

	return {
		async serve(reply, req, ask) {
			const startedAt = clock.now();
			const leave = working.enter();
			try {
				const answer = await askOrRefuse(req, ask);
				const seconds = (clock.now() - startedAt) / 1000;
				metrics.observeRequest({
					kind: req.asked, class: req.class, outcome: answer.outcome, seconds,
				});
				return prepare(reply, answer);
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
			return prepare(reply, refuse(req, getUntakenOutcome(req), {code, reason, facts: {}}), status);
		},
		refuseUntaken: (reply, req) => prepare(reply, refuse(req, getUntakenOutcome(req), LEAVING_REFUSAL)),
		cut() {
			for (const cut of cuts) {
				cut();
			}
		},
	};
}

/** A question about another request that was not taken says nothing of that one: `not-run` would be untrue. */
function getUntakenOutcome(req: AskedRequest): Outcome {
	return req.asked === AskedKind.Outcome ? Outcome.Unknown : Outcome.NotRun;
}

/** A row may hold what JSON has no form for; failing then would lose the answer to a write that ran. */
function toJson(answer: CallerAnswer): string {
	try {
		return JSON.stringify(answer);
	} catch {
		return JSON.stringify(answer, (_key, value: unknown) => typeof value === 'bigint' ? value.toString() : value);
	}
}
