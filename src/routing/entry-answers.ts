import {Outcome, type CallerResponse} from '../callers/caller-response.js';
import {RequestKind} from '../callers/caller-request.js';
import type {EndpointRole} from '../endpoints/endpoint.js';
import type {Explanations} from '../explanations/explanations.js';
import type {Hosts} from '../membership/hosts.js';
import {RefusalCode, type Refusal} from '../refusals/refusal.js';
import type {Session, Sessions} from '../sessions/session.js';
import type {Clock} from '../time/clock.js';
import type {ReceivedRequest} from './received-request.js';
import type {OwnerResponse} from './owner-request.js';
import {raiseFloor} from './session-floor.js';
import type {TriesResult} from './try-owners.js';

/** Creates the answers to callers; each refusal is recorded and gets a ticket. */
export type EntryAnswers = {
	/** Returns a refusal of this submission, with the outcome that it proves for the request. */
	refuse(received: ReceivedRequest, refusal: Refusal): CallerResponse;
	/** Returns a refusal with an unknown outcome: the request may have run. */
	refuseWithUnknownOutcome(received: ReceivedRequest, refusal: Refusal): CallerResponse;
	/** Returns the answer for the result of a series of tries. */
	answer(received: ReceivedRequest, result: TriesResult): CallerResponse;
};

/** Options of {@link createEntryAnswers}. */
export type EntryAnswersOptions = {
	readonly clock: Clock;
	readonly hosts: Hosts;
	readonly sessions: Sessions;
	readonly explanations: Explanations;
	/** Called with every answer, for metrics and operators. */
	onAnswer?(received: ReceivedRequest, response: CallerResponse, now: number): void;
	/** Called with the role of the endpoint that served a read, for metrics. */
	onServed?(role: EndpointRole): void;
};

/** Codes of refusals that apply to every submission of the request id: its key holds a tombstone or another statement. */
const FINAL_CODES: ReadonlySet<RefusalCode> = new Set([RefusalCode.Resolved, RefusalCode.RequestMismatch]);

/** Maximum age of a session token before it is signed again, in milliseconds. */
const MAX_TOKEN_AGE_MS = 600_000;

/** Creates the answers of one host's entry. */
export function createEntryAnswers(options: EntryAnswersOptions): EntryAnswers {
	const {
		clock, hosts, sessions, explanations,
	} = options;

	// Signing costs more than the rest of a read's processing in the entry, so an unchanged token is returned as it was received.
	// An old one is signed again, so that a change of signing keys never invalidates the token of a session that only reads.
	const sign = (received: ReceivedRequest, session: Session) => {
		const wallMs = clock.wall();
		const isRecent = Math.abs(wallMs - session.issuedAt) < MAX_TOKEN_AGE_MS;
		if (received.token !== undefined && session === received.session && isRecent) {
			return received.token;
		}

		return sessions.sign(isRecent ? session : {...session, issuedAt: wallMs});
	};

	const createRefusalResponse = (received: ReceivedRequest, outcome: Outcome, refusal: Refusal): CallerResponse => {
		const ticket = explanations.record({
			...refusal,
			requestId: received.requestId,
			group: received.group,
			asked: received.asked,
			class: received.class,
			sessionId: received.session.id,
			outcome,
			host: hosts.self.name,
			at: clock.wall(),
			configVersion: received.configVersion,
		});
		const {code, reason, retryAfterMs} = refusal;
		return {
			outcome,
			requestId: received.requestId,
			session: sign(received, received.session),
			refusal: {
				code, reason, retryAfterMs, ticket,
			},
		};
	};

	const createDoneResponse = (received: ReceivedRequest, ownerResponse: OwnerResponse): CallerResponse => {
		const isWrite = received.asked !== RequestKind.Read;
		if (!isWrite && ownerResponse.role) {
			options.onServed?.(ownerResponse.role);
		}

		const session = isWrite && ownerResponse.log ? raiseFloor(received.session, received.group, ownerResponse.log, clock.wall()) : received.session;
		return {
			outcome: Outcome.Done,
			requestId: received.requestId,
			rows: ownerResponse.rows,
			servedBy: ownerResponse.servedBy,
			term: ownerResponse.log?.term,
			position: ownerResponse.log?.position,
			ageMs: ownerResponse.ageMs === undefined ? undefined : Math.ceil(ownerResponse.ageMs),
			session: sign(received, session),
		};
	};

	/**
	 * Returns the outcome that a refusal of this submission proves for the request.
	 *
	 * Guards against a false "not run" to a caller that sends an id again after its first submission got no answer: this
	 * one did not run, but the first still may. The outcome is then unknown, and the caller sends the same id again.
	 */
	const getRefusedOutcome = (received: ReceivedRequest, refusal: Refusal) =>
		received.mayBeRepeat && !FINAL_CODES.has(refusal.code) ? Outcome.Unknown : Outcome.NotRun;

	const createResultResponse = (received: ReceivedRequest, {answer: ownerResponse, outcomeUnknown, hasTombstone}: TriesResult): CallerResponse => {
		if (ownerResponse.outcome === Outcome.Done) {
			return createDoneResponse(received, ownerResponse);
		}

		const refusal = ownerResponse.refusal!;
		if (refusal.code === RefusalCode.WriteLost && ownerResponse.log) {
			// Reported once: the session continues from the log that lacks the write.
			const session = raiseFloor(received.session, received.group, ownerResponse.log, clock.wall());
			return createRefusalResponse({...received, session, token: undefined}, Outcome.NotRun, refusal);
		}

		if (outcomeUnknown || ownerResponse.outcome === Outcome.Unknown) {
			return createRefusalResponse(received, Outcome.Unknown, refusal);
		}

		return createRefusalResponse(received, hasTombstone ? Outcome.NotRun : getRefusedOutcome(received, refusal), refusal);
	};

	const finish = (received: ReceivedRequest, response: CallerResponse) => {
		options.onAnswer?.(received, response, clock.now());
		return response;
	};

	return {
		refuse: (received, refusal) => finish(received, createRefusalResponse(received, getRefusedOutcome(received, refusal), refusal)),
		refuseWithUnknownOutcome: (received, refusal) => finish(received, createRefusalResponse(received, Outcome.Unknown, refusal)),
		answer: (received, result) => finish(received, createResultResponse(received, result)),
	};
}
