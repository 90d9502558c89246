import {Access, SessionState} from '../statements/statement.js';
import {AnswerCode, isOverloaded, type EndpointAnswer} from '../statements/statement-answer.js';
import {
	exchangeStatement, exchangeWithin, getShape, type EndpointStatement,
} from './exchange.js';
import type {GatewayParts} from './gateway-parts.js';
import {mayAcknowledge} from './acknowledge-commit.js';
import {
	acquireForRead, acquirePrimary, type AcquiredLink, type LinkRequest,
} from './acquire-link.js';
import {refuse, type StatementResult} from './statement-result.js';

/** A caller's transaction; it uses one connection from its first statement to its end. */
export type CallerTransaction = {
	/** Whether the transaction is rolled back; every statement but a rollback then gets an error. */
	readonly failed: boolean;
	run(id: string, statement: EndpointStatement, until: number): Promise<StatementResult>;
	commit(id: string, until: number): Promise<StatementResult>;
	/** Rolls back, under the id of the caller's rollback where there is one; does not wait for the endpoint. */
	rollback(id?: string): void;
	/** Rolls back on the host's initiative; the caller learns of it with the answer to its next statement. */
	abort(reason: string): void;
};

/** Options of a new transaction. */
export type CallerTransactionOptions = {
	readonly parts: GatewayParts;
	readonly beginId: string;
	readonly readOnly: boolean;
	readonly req: Omit<LinkRequest, 'until'>;
};

/** Retry-after of a transaction that found no endpoint, where no pool gave one, in milliseconds: a third of a promotion. */
const RETRY_AFTER_MS = 400;

/** Timeout of a rollback, in milliseconds; after it the connection is cut, which rolls back as well. */
const ROLLBACK_TIMEOUT_MS = 1000;

/** Delay before a begin or a commit that an endpoint refused is sent again, in milliseconds. */
const RETRY_PAUSE_MS = 20;

/**
 * Minimum time left for sending a refused commit again, in milliseconds. A second commit that gets no answer would leave the outcome
 * unknown, whereas after the refusal it is certain that nothing was committed.
 */
const MIN_COMMIT_RETRY_MS = 150;

/** Creates a transaction. Nothing is sent to an endpoint before its first statement. */
export function createCallerTransaction({parts, beginId, readOnly, req}: CallerTransactionOptions): CallerTransaction {
	const {clock, elapsedClock, primaryLeases, log, metrics, mirror} = parts;
	const {group} = req.route;
	let acquired: AcquiredLink | undefined;
	let failure: StatementResult | undefined;
	let wrote = false;
	let committing = false;

	const fail = (code: AnswerCode, reason: string, retryAfterMs?: number) => {
		failure = refuse(code, reason, retryAfterMs);
		return failure;
	};

	/** Rolls back at the endpoint if the transaction was begun there, and releases the connection. */
	const rollBackAtEndpoint = (id?: string) => {
		const ending = acquired;
		acquired = undefined;
		if (!ending) {
			return;
		}

		if (ending.sessionLink.link.closed) {
			ending.release();
			return;
		}

		// The caller's own rollback is its statement, which runs under the values that it has set; an endpoint whose transaction has failed accepts none.
		const needed = id !== undefined && ending.state === SessionState.Open ? {values: req.memory.values} : undefined;
		void exchangeWithin(parts, ending, {id, command: {kind: 'rollback'}}, {timeoutMs: ROLLBACK_TIMEOUT_MS, needed}).then(answer => {
			if (!answer) {
				log.debug('a rollback was not answered; its connection is cut', {id: beginId, group});
			}

			ending.release();
		});
	};

	const abort = (reason: string) => {
		// A commit that was sent can no longer be rolled back; its answer gives the outcome.
		if (committing || failure) {
			return;
		}

		log.info('a transaction is rolled back', {
			id: beginId, group, reason, wrote,
		});
		fail(AnswerCode.Aborted, reason);
		rollBackAtEndpoint();
	};

	const failUnbegun = () => {
		const {reason = 'no endpoint could begin the transaction', retryAfterMs = RETRY_AFTER_MS} = req.trace.queueRefusal ?? {};
		return fail(AnswerCode.Overloaded, `${reason}; nothing ran`, retryAfterMs);
	};

	/** Begins the transaction at an endpoint. Returns undefined where no endpoint accepted it in time. */
	const begin = async (until: number): Promise<AcquiredLink | undefined> => {
		const excluded = new Set<string>();
		while (clock.now() < until && req.isWanted() && !req.queueTimeout.isOver(clock.now())) {
			const linkRequest = {...req, until, excluded};
			const candidate = await (readOnly ? acquireForRead(parts, linkRequest) : acquirePrimary(parts, linkRequest));
			if (!candidate) {
				if (excluded.size === 0 || req.trace.queueRefusal) {
					return undefined;
				}

				excluded.clear();
				await clock.sleep(RETRY_PAUSE_MS);
				continue;
			}

			const answer = await exchangeWithin(parts, candidate, {
				id: beginId, command: {kind: 'begin', readOnly}, floor: candidate.floor,
			}, {timeoutMs: until - clock.now(), needed: {values: req.memory.values}});
			if (answer?.end.kind === 'complete') {
				return candidate;
			}

			candidate.release();
			if (answer?.end.kind === 'error' && answer.end.code === AnswerCode.TooLarge) {
				// The session values stay too large, wherever it is begun.
				failure = answer;
				return undefined;
			}

			if (readOnly) {
				excluded.add(candidate.endpoint.entry.id);
			} else {
				mirror.confirmSoon();
				await clock.sleep(RETRY_PAUSE_MS);
			}

			const reason = answer?.end.kind === 'error' ? answer.end.code : 'no whole answer came';
			log.info('a transaction is begun again', {
				id: beginId, group, endpoint: candidate.endpoint.entry.id, reason, floor: candidate.floor,
			});
			metrics.countRetry(reason);
		}

		return undefined;
	};

	/** Commits, again where the endpoint refused for overload: the commit did not run then, and the transaction is still open there. */
	const commitAtEndpoint = async (ending: AcquiredLink, id: string, until: number) => {
		for (;;) {
			const answer = await exchangeWithin(parts, ending, {id, command: {kind: 'commit'}}, {timeoutMs: until - clock.now(), needed: {values: req.memory.values}});
			const mayRepeat = answer !== undefined && isOverloaded(answer) && answer.state === SessionState.Open;
			if (!mayRepeat || clock.now() + MIN_COMMIT_RETRY_MS >= until) {
				return answer;
			}

			metrics.countRetry(AnswerCode.Overloaded);
			await clock.sleep(RETRY_PAUSE_MS);
		}
	};

	const noteAnswer = (answer: EndpointAnswer): StatementResult => {
		if (answer.end.kind === 'error') {
			failure = answer;
			rollBackAtEndpoint();
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

			acquired ??= await begin(until);
			if (failure) {
				// The transaction was rolled back during its begin, so none of its statements may run.
				rollBackAtEndpoint();
				return failure;
			}

			if (!acquired) {
				return failUnbegun();
			}

			wrote ||= shape.access === Access.Write;
			const answer = await exchangeStatement(parts, acquired, req.memory, {id, statement, timeoutMs: until - clock.now()});
			if (failure) {
				// The transaction was rolled back while the statement ran.
				return failure;
			}

			if (answer) {
				return noteAnswer(answer);
			}

			// The connection is cut, and no commit was sent, so the endpoint rolls back.
			log.warn('a transaction is aborted: no whole answer came', {id, group, endpoint: acquired.endpoint.entry.id});
			rollBackAtEndpoint();
			return fail(AnswerCode.Aborted, 'no answer came within a transaction; it was rolled back');
		},
		async commit(id, until) {
			if (failure) {
				// The transaction may have been rolled back during its begin.
				rollBackAtEndpoint();
				return failure;
			}

			const ending = acquired;
			if (!ending) {
				acquired = await begin(until);
				return acquired ? this.commit(id, until) : failure ?? failUnbegun();
			}

			// A replaced primary may still commit. Before a commit is sent, a rollback still has a certain outcome.
			if (wrote && ending.lease && primaryLeases.isSuperseded(ending.lease) && !primaryLeases.holds(ending.lease, elapsedClock.elapsed())) {
				abort('the primary was replaced before the commit');
				return failure!;
			}

			acquired = undefined;
			committing = true;
			const before = parts.knowledge.getSamples(group).getNewest()?.position;
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

			if (ending.lease && !await mayAcknowledge(parts, ending.lease, id, {position: answer.position, before})) {
				return fail(AnswerCode.OutcomeUnknown, 'the primary may have been replaced before it committed');
			}

			if (answer.position) {
				req.memory.floors.set(group, answer.position);
			}

			return answer;
		},
		rollback(id) {
			rollBackAtEndpoint(id);
		},
		abort,
	};
}

