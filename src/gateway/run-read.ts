import type {RetryBudget} from '../retries/retry-budget.js';
import {AnswerCode, type EndpointAnswer} from '../statements/statement-answer.js';
import {EndpointRole} from '../endpoints/endpoint.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import {exchangeStatement, type EndpointStatement} from './exchange.js';
import type {GatewayParts} from './gateway-parts.js';
import {acquireForRead, type AcquiredLink, type LinkRequest} from './acquire-link.js';
import {createSecondAttempts} from './second-attempts.js';
import {refuse, type StatementResult} from './statement-result.js';

/** A statement outside a transaction. */
export type SingleStatement = {
	readonly id: string;
	readonly statement: EndpointStatement;
	readonly req: LinkRequest;
};

/**
 * A read without an answer is sent to a second endpoint after this many times the first endpoint's usual time, and not before
 * the minimum, in milliseconds. One in a hundred of the users' statements takes five times the usual time.
 */
const HEDGE_DELAY_FACTOR = 6;
const MIN_HEDGE_DELAY_MS = 150;

/** Retry-after of a read that found no endpoint, where no pool gave one, in milliseconds: time for two confirmations of the leadership records. */
const RETRY_AFTER_MS = 300;

type TryOutcome =
	| {readonly kind: 'answer'; readonly answer: EndpointAnswer}
	/** There was no answer, or the endpoint did not run the read; another endpoint may. */
	| {readonly kind: 'again'; readonly reason: string; readonly reachedInMs?: number; readonly unsent?: true};

/** Runs a read outside a transaction. Sends it to a further endpoint where one does not answer, since a read may run twice. */
export async function runRead(parts: GatewayParts, budget: RetryBudget, single: SingleStatement): Promise<StatementResult> {
	const {clock, log, metrics} = parts;
	const excluded = new Set<string>();
	const {until, route} = single.req;
	const underWay = new Set<Promise<TryOutcome>>();
	let lastReason: string = AnswerCode.Overloaded;
	const attempts = createSecondAttempts(parts, budget);
	attempts.noteArrived();

	/**
	 * Notes an endpoint that was tried, and pauses where it had been tried before. Guards against a read that only one endpoint may serve, such as the primary:
	 * refused at once each time, it would be sent there in a busy loop until its timeout.
	 */
	const noteTried = async (acquired: AcquiredLink | undefined, outcome: TryOutcome | undefined) => {
		const endpoint = acquired?.endpoint.entry.id;
		// A replica whose catch-up is predicted is a candidate again at the predicted time.
		const isPredicted = outcome?.kind === 'again' && outcome.reachedInMs !== undefined;
		if (endpoint !== undefined && !isPredicted) {
			if (excluded.has(endpoint)) {
				await clock.sleep(Math.min(ROUND_PAUSE_MS, until - clock.now()));
			}

			excluded.add(endpoint);
		}

		log.info('a read is tried again', {
			id: single.id, group: route.group, endpoint, reason: lastReason, floor: acquired?.floor, leftMs: Math.round(until - clock.now()),
		});
	};

	/** Whether the queue timeout has passed with no try under way; a try under way is awaited, since its answer may be ready. */
	const hasQueueTimedOut = () => underWay.size === 0 && lastReason === AnswerCode.Overloaded && single.req.queueTimeout.isOver(clock.now());

	/** Whether another round is of no use: no endpoint may be used, or the last one that was asked knows that it cannot serve the read in time. */
	const isOver = () => excluded.size === 0 || single.req.trace.queueRefusal !== undefined;
	const getRetryAfterMs = () => single.req.trace.queueRefusal?.retryAfterMs ?? RETRY_AFTER_MS;

	while (clock.now() < until && single.req.isWanted() && !hasQueueTimedOut()) {
		const acquired = await acquireForRead(parts, {
			...single.req, reads: true, excluded, until: underWay.size > 0 ? clock.now() : until,
		});
		if (acquired) {
			underWay.add(startTry(parts, acquired, single));
		} else if (underWay.size === 0) {
			if (excluded.size === 0 || single.req.trace.queueRefusal) {
				break;
			}

			// Each endpoint was tried. In the next round one may have caught up or become reachable.
			excluded.clear();
			await clock.sleep(ROUND_PAUSE_MS);
			continue;
		}

		const hedgeDelayMs = acquired ? getHedgeDelayMs(parts, acquired) : until - clock.now();
		const outcome = await waitForOutcome(parts, underWay, Math.min(hedgeDelayMs, until - clock.now()));
		if (outcome?.kind === 'answer') {
			attempts.noteAnswered();
			return outcome.answer;
		}

		lastReason = outcome?.reason ?? 'an endpoint took long';
		await noteTried(acquired, outcome);
		metrics.countRetry(lastReason);
		if (!attempts.mayTryAgain(outcome?.reason, outcome?.unsent === true)) {
			if (underWay.size === 0) {
				break;
			}

			// The retry budget is used up, so no second endpoint gets the read; wait for the answer until the statement's timeout.
			const late = await waitForOutcome(parts, underWay, until - clock.now());
			if (late?.kind === 'answer') {
				return late.answer;
			}
		}
	}

	return refuseRead(single, lastReason);
}

function refuseRead({req: {trace}}: SingleStatement, reason: string): StatementResult {
	return refuse(AnswerCode.Overloaded, `${trace.queueRefusal?.reason ?? reason}; the read left nothing behind`, trace.queueRefusal?.retryAfterMs ?? RETRY_AFTER_MS);
}

/** Pause before endpoints that were all tried are tried again, in milliseconds: about the usual lag of a replica. */
const ROUND_PAUSE_MS = 25;

function getHedgeDelayMs({knowledge}: GatewayParts, acquired: AcquiredLink) {
	return Math.max(MIN_HEDGE_DELAY_MS, HEDGE_DELAY_FACTOR * knowledge.getStats(acquired.endpoint.entry.id).serviceMs);
}

/** Removes the first try that completes within `ms` milliseconds from the set and returns its outcome; undefined where none completes. */
async function waitForOutcome({clock}: GatewayParts, underWay: Set<Promise<TryOutcome>>, ms: number): Promise<TryOutcome | undefined> {
	const alarm = createSleepAlarm();
	const attempts = [...underWay].map(async promise => ({promise, outcome: await promise}));
	const first = await Promise.race([...attempts, clock.sleep(ms, alarm)]);
	alarm.abort();
	if (!first) {
		return undefined;
	}

	underWay.delete(first.promise);
	return first.outcome;
}

async function startTry(parts: GatewayParts, acquired: AcquiredLink, {id, statement, req}: SingleStatement): Promise<TryOutcome> {
	const answer = await exchangeStatement(parts, acquired, req.memory, {
		id, statement, floor: acquired.floor, timeoutMs: req.until - parts.clock.now(),
	});
	acquired.release();
	if (!answer) {
		return {kind: 'again', reason: 'no whole answer came'};
	}

	if (answer.end.kind === 'error' && (RETRIED_CODES.has(answer.end.code) || answer.fitsWithoutFloor)) {
		return {
			kind: 'again', reason: answer.end.code, reachedInMs: answer.reachedInMs, unsent: answer.unsent,
		};
	}

	if (answer.end.kind === 'complete') {
		parts.metrics.countRead(acquired.lease ? EndpointRole.Primary : EndpointRole.Replica);
	}

	return {kind: 'answer', answer};
}

/** Errors of the endpoint rather than of the read itself. */
const RETRIED_CODES: ReadonlySet<AnswerCode> = new Set([
	AnswerCode.Overloaded, AnswerCode.Lagging, AnswerCode.ReadOnly, AnswerCode.UnknownStatement, AnswerCode.Failed, AnswerCode.TimedOut,
]);
