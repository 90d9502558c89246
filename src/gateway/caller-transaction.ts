import {Access, SessionState} from '../statements/statement.js';
import {AnswerCode, isTurnedAway, type EndpointAnswer} from '../statements/statement-answer.js';
import {
	exchangeStatement, exchangeWithin, getShape, type EndpointStatement,
} from './exchange.js';
import type {GatewayParts} from './gateway-parts.js';
import {mayAcknowledge} from './judge-commit.js';
import {
	lendForRead, lendPrimary, type LentLink, type LinkRequest,
} from './lend-link.js';
import {refuse, type StatementResult} from './statement-result.js';

/** A caller's transaction: one connection from its first statement to its end. */
export type CallerTransaction = {
	/** Its changes are rolled back and nothing but a rollback is answered any more. */
	readonly failed: boolean;
	run(id: string, statement: EndpointStatement, until: number): Promise<StatementResult>;
	commit(id: string, until: number): Promise<StatementResult>;
	/** Rolls back, under the caller's id where it asked for it; it need not wait for the endpoint. */
	rollback(id?: string): void;
	/** Rolls back on the host's own account: the caller is told with its next statement. */
	abort(reason: string): void;
};

/** What a transaction begins with. */
export type CallerTransactionOptions = {
	readonly parts: GatewayParts;
	readonly beginId: string;
	readonly readOnly: boolean;
	readonly req: Omit<LinkRequest, 'until'>;
};

/** When to come back after a transaction that found no endpoint, in milliseconds: a third of a promotion. */
const COME_BACK_MS = 400;

/** Longest rollback, in milliseconds; after that the connection is cut, which rolls back as well. */
const ROLLBACK_TIMEOUT_MS = 1000;

/** Pause before an endpoint that could not begin is asked again, in milliseconds. */
const BEGIN_PAUSE_MS = 20;

/**
 * A commit that was turned away is not repeated with less time than this left, in milliseconds: a repeat that brings no answer
 * would leave the outcome open, where so far it is certain that nothing is kept.
 */
const LEAST_COMMIT_MS = 150;

/** Creates a transaction; nothing is sent to an endpoint before its first statement. */
export function createCallerTransaction({parts, beginId, readOnly, req}: CallerTransactionOptions): CallerTransaction {
	const {clock, elapsedClock, evidences, log, metrics, mirror} = parts;
	const {group} = req.route;
	let lent: LentLink | undefined;
	let failure: StatementResult | undefined;
	let wrote = false;
	let committing = false;

	const fail = (code: AnswerCode, reason: string, comeBackMs?: number) => {
		failure = refuse(code, reason, comeBackMs);
		return failure;
	};

	/** Ends the transaction at the endpoint, where it was begun there. */
	const endAtEndpoint = (id?: string) => {
		const ending = lent;
		lent = undefined;
		if (!ending) {
			return;
		}

		if (ending.sessionLink.link.closed) {
			ending.release();
			return;
		}

		void exchangeWithin(parts, ending, {id, command: {kind: 'rollback'}}, ROLLBACK_TIMEOUT_MS).then(answer => {
			if (!answer) {
				log.debug('a rollback was not answered; its connection is cut', {id: beginId, group});
			}

			ending.release();
		});
	};

	const abort = (reason: string) => {
		// A commit that was sent can be rolled back no more; its answer says what became of it.
		if (committing || failure) {
			return;
		}

		log.info('a transaction is rolled back', {
			id: beginId, group, reason, wrote,
		});
		fail(AnswerCode.Aborted, reason);
		endAtEndpoint();
	};

	/** Begins at an endpoint; undefined where none took it in time. */
	const begin = async (until: number): Promise<LentLink | undefined> => {
		const excluded = new Set<string>();
		while (clock.now() < until && req.isWanted() && !req.patience.isOver(clock.now())) {
			const wish = {...req, until, excluded};
			const candidate = await (readOnly ? lendForRead(parts, wish) : lendPrimary(parts, wish));
			if (!candidate) {
				if (excluded.size === 0) {
					return undefined;
				}

				excluded.clear();
				await clock.sleep(BEGIN_PAUSE_MS);
				continue;
			}

			candidate.sessionLink.adapt({values: req.memory.values});
			const answer = await exchangeWithin(parts, candidate, {
				id: beginId, command: {kind: 'begin', readOnly}, floor: candidate.floor,
			}, until - clock.now());
			if (answer?.end.kind === 'complete') {
				return candidate;
			}

			candidate.release();
			if (readOnly) {
				excluded.add(candidate.endpoint.entry.id);
			} else {
				mirror.confirmSoon();
				await clock.sleep(BEGIN_PAUSE_MS);
			}

			const reason = answer?.end.kind === 'error' ? answer.end.code : 'no whole answer came';
			log.info('a transaction is begun again', {
				id: beginId, group, endpoint: candidate.endpoint.entry.id, reason, floor: candidate.floor,
			});
			metrics.countRetry(reason);
		}

		return undefined;
	};

	/** A commit that the endpoint turned away has not run, and the transaction is still open there. */
	const commitAtEndpoint = async (ending: LentLink, id: string, until: number) => {
		for (;;) {
			const answer = await exchangeWithin(parts, ending, {id, command: {kind: 'commit'}}, until - clock.now());
			const mayRepeat = answer !== undefined && isTurnedAway(answer) && answer.state === SessionState.Open;
			if (!mayRepeat || clock.now() + LEAST_COMMIT_MS >= until) {
				return answer;
			}

			metrics.countRetry(AnswerCode.Overloaded);
			await clock.sleep(BEGIN_PAUSE_MS);
		}
	};

	const judge = (answer: EndpointAnswer): StatementResult => {
		if (answer.end.kind === 'error') {
			failure = answer;
			endAtEndpoint();
		}

		return answer;
	};

	return {
		get failed() {
			return failure !== undefined;
		},
		async run(id, statement, until) {
			if (failure) {
				return failure;
			}

			const shape = getShape(req.memory, statement);
			if (!shape) {
				return fail(AnswerCode.UnknownStatement, 'no statement has that name');
			}

			lent ??= await begin(until);
			if (failure) {
				// It was rolled back while it was begun, so nothing of it may run.
				endAtEndpoint();
				return failure;
			}

			if (!lent) {
				return fail(AnswerCode.Overloaded, 'no endpoint could begin the transaction; nothing ran', COME_BACK_MS);
			}

			wrote ||= shape.access === Access.Write;
			const answer = await exchangeStatement(parts, lent, req.memory, {id, statement, timeoutMs: until - clock.now()});
			if (failure) {
				// It was rolled back while the statement ran.
				return failure;
			}

			if (answer) {
				return judge(answer);
			}

			// The connection is cut, so the endpoint rolls back: no commit was sent.
			log.warn('a transaction is aborted: no whole answer came', {id, group, endpoint: lent.endpoint.entry.id});
			endAtEndpoint();
			return fail(AnswerCode.Aborted, 'no answer came within a transaction; it was rolled back');
		},
		async commit(id, until) {
			if (failure) {
				// It may have been rolled back while it was begun.
				endAtEndpoint();
				return failure;
			}

			const ending = lent;
			if (!ending) {
				lent = await begin(until);
				return lent ? this.commit(id, until) : fail(AnswerCode.Overloaded, 'no endpoint could begin the transaction; nothing ran', COME_BACK_MS);
			}

			// A replaced primary may still commit; as long as no commit was sent, the transaction can be rolled back for certain.
			if (wrote && ending.evidence && evidences.isSuperseded(ending.evidence) && !evidences.holds(ending.evidence, elapsedClock.elapsed())) {
				abort('the primary was replaced before the commit');
				return failure!;
			}

			lent = undefined;
			committing = true;
			const answer = await commitAtEndpoint(ending, id, until);
			ending.release();
			if (!answer) {
				log.warn('no whole answer to a commit came', {
					id, group, endpoint: ending.endpoint.entry.id, wrote,
				});
				return wrote
					? fail(AnswerCode.OutcomeUnknown, 'the commit was sent and no answer came')
					: fail(AnswerCode.Aborted, 'the transaction wrote nothing and its end was not confirmed');
			}

			if (answer.end.kind === 'error' || !wrote) {
				return answer;
			}

			if (ending.evidence && !await mayAcknowledge(parts, ending.evidence, id)) {
				return fail(AnswerCode.OutcomeUnknown, 'the primary may have been replaced before it committed');
			}

			if (answer.position) {
				req.memory.floors.set(group, answer.position);
			}

			return answer;
		},
		rollback(id) {
			endAtEndpoint(id);
		},
		abort,
	};
}

