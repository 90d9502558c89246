import {Outcome, type CallerAnswer} from '../callers/caller-answer.js';
import {RequestKind} from '../callers/caller-request.js';
import type {EndpointRole} from '../endpoints/endpoint.js';
import type {Explanations} from '../explanations/explanations.js';
import type {Hosts} from '../membership/hosts.js';
import {RefusalCode, type Refusal} from '../refusals/refusal.js';
import type {Sessions} from '../sessions/session.js';
import type {Clock} from '../time/clock.js';
import type {AskedRequest} from './asked-request.js';
import type {OwnerAnswer} from './owner-request.js';
import {raiseFloor} from './session-floor.js';
import type {TriesEnd} from './try-owners.js';

/** Makes callers' answers, each refusal with its record and ticket. */
export type EntryAnswers = {
	/** A refusal of this submission, with what it may say of the request. */
	refuse(asked: AskedRequest, refusal: Refusal): CallerAnswer;
	/** A refusal that leaves open whether the request ran. */
	leaveOpen(asked: AskedRequest, refusal: Refusal): CallerAnswer;
	/** The answer that a series of tries ended with. */
	answer(asked: AskedRequest, end: TriesEnd): CallerAnswer;
};

/** What answers are made with. */
export type EntryAnswersOptions = {
	readonly clock: Clock;
	readonly hosts: Hosts;
	readonly sessions: Sessions;
	readonly explanations: Explanations;
	/** Told of every answer, for metrics and operators. */
	onAnswer?(asked: AskedRequest, answer: CallerAnswer, now: number): void;
	/** Told of the role of the endpoint that served a read, for metrics. */
	onServed?(role: EndpointRole): void;
};

/** Refusals that hold for every submission of the id: a tombstone or another statement stands under the key. */
const SETTLED_CODES: ReadonlySet<RefusalCode> = new Set([RefusalCode.Resolved, RefusalCode.RequestMismatch]);

/** Creates the maker of answers of one host. */
export function createEntryAnswers(options: EntryAnswersOptions): EntryAnswers {
	const {
		clock, hosts, sessions, explanations,
	} = options;

	const answerRefusal = (asked: AskedRequest, outcome: Outcome, refusal: Refusal): CallerAnswer => {
		const ticket = explanations.record({
			...refusal,
			requestId: asked.requestId,
			group: asked.group,
			asked: asked.asked,
			class: asked.class,
			sessionId: asked.session.id,
			outcome,
			host: hosts.self.name,
			at: clock.wall(),
			configVersion: asked.configVersion,
		});
		const {code, reason, retryAfterMs} = refusal;
		return {
			outcome,
			requestId: asked.requestId,
			session: sessions.sign(asked.session),
			refusal: {
				code, reason, retryAfterMs, ticket,
			},
		};
	};

	const answerDone = (asked: AskedRequest, answer: OwnerAnswer): CallerAnswer => {
		const isWrite = asked.asked !== RequestKind.Read;
		if (!isWrite && answer.role) {
			options.onServed?.(answer.role);
		}

		const session = isWrite && answer.log ? raiseFloor(asked.session, asked.group, answer.log, clock.wall()) : asked.session;
		return {
			outcome: Outcome.Done,
			requestId: asked.requestId,
			rows: answer.rows,
			servedBy: answer.servedBy,
			term: answer.log?.term,
			position: answer.log?.position,
			ageMs: answer.ageMs === undefined ? undefined : Math.ceil(answer.ageMs),
			session: sessions.sign(session),
		};
	};

	/**
	 * What a refusal of this submission may say of the request.
	 *
	 * Guards against a false "not run" to a caller that sends an id again after its first submission brought no
	 * answer: this one did not run, but the other still may. Such a caller is told so, and sends the same id again.
	 */
	const getRefusedOutcome = (asked: AskedRequest, refusal: Refusal) =>
		asked.mayBeRepeat && !SETTLED_CODES.has(refusal.code) ? Outcome.Unknown : Outcome.NotRun;

	const answerEnd = (asked: AskedRequest, {answer, unsure, settled}: TriesEnd): CallerAnswer => {
		if (answer.outcome === Outcome.Done) {
			return answerDone(asked, answer);
		}

		const refusal = answer.refusal!;
		if (refusal.code === RefusalCode.WriteLost && answer.log) {
			// Told once: the session goes on from the log that is without the write.
			const session = raiseFloor(asked.session, asked.group, answer.log, clock.wall());
			return answerRefusal({...asked, session}, Outcome.NotRun, refusal);
		}

		if (unsure || answer.outcome === Outcome.Unknown) {
			return answerRefusal(asked, Outcome.Unknown, refusal);
		}

		return answerRefusal(asked, settled ? Outcome.NotRun : getRefusedOutcome(asked, refusal), refusal);
	};

	const finish = (asked: AskedRequest, answer: CallerAnswer) => {
		options.onAnswer?.(asked, answer, clock.now());
		return answer;
	};

	return {
		refuse: (asked, refusal) => finish(asked, answerRefusal(asked, getRefusedOutcome(asked, refusal), refusal)),
		leaveOpen: (asked, refusal) => finish(asked, answerRefusal(asked, Outcome.Unknown, refusal)),
		answer: (asked, end) => finish(asked, answerEnd(asked, end)),
	};
}
