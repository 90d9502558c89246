import type {RetryBudget} from '../retries/retry-budget.js';
import {AnswerCode, type EndpointAnswer} from '../statements/statement-answer.js';
import {EndpointRole} from '../endpoints/endpoint.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import {exchangeStatement, type EndpointStatement} from './exchange.js';
import type {GatewayParts} from './gateway-parts.js';
import {lendForRead, type LentLink, type LinkRequest} from './lend-link.js';
import {refuse, type StatementResult} from './statement-result.js';

/** A statement outside a transaction. */
export type SingleStatement = {
	readonly id: string;
	readonly statement: EndpointStatement;
	readonly req: LinkRequest;
};

/**
 * A read without an answer is sent to a second endpoint after this many times the usual time there, and at least so long, in
 * milliseconds. Of the users' statements one in a hundred takes five times the usual.
 */
const PATIENCE_FACTOR = 6;
const LEAST_PATIENCE_MS = 150;

/** When to come back after a read that found no endpoint, in milliseconds: two confirmations of who leads fit in. */
const COME_BACK_MS = 300;

type TryOutcome =
	| {readonly kind: 'answer'; readonly answer: EndpointAnswer}
	/** Nothing came, or the endpoint did not run it; worth another try elsewhere. */
	| {readonly kind: 'again'; readonly reason: string};

/** Runs a read outside a transaction: at another endpoint too where one does not answer, since a read may run twice. */
export async function runRead(parts: GatewayParts, budget: RetryBudget, single: SingleStatement): Promise<StatementResult> {
	const {clock, log, metrics} = parts;
	const excluded = new Set<string>();
	const {until, route} = single.req;
	const underWay = new Set<Promise<TryOutcome>>();
	let lastReason: string = AnswerCode.Overloaded;
	budget.noteFresh(clock.now());

	/**
	 * Guards against a read that is tried at the same endpoint over and over, as where only the primary may serve it: turned away at once each time, it would
	 * keep this host busy until its time is up.
	 */
	const noteTried = async (endpointId: string | undefined) => {
		if (endpointId === undefined) {
			return;
		}

		if (excluded.has(endpointId)) {
			await clock.sleep(Math.min(ROUND_PAUSE_MS, until - clock.now()));
		}

		excluded.add(endpointId);
	};

	/** What is under way is awaited, since its answer may be ready. */
	const hasQueuedOut = () => underWay.size === 0 && lastReason === AnswerCode.Overloaded && single.req.patience.isOver(clock.now());

	while (clock.now() < until && single.req.isWanted() && !hasQueuedOut()) {
		const lent = await lendForRead(parts, {
			...single.req, reads: true, excluded, until: underWay.size > 0 ? clock.now() : until,
		});
		if (lent) {
			underWay.add(startTry(parts, lent, single));
		} else if (underWay.size === 0) {
			if (excluded.size === 0) {
				break;
			}

			// Each endpoint was tried: the next round may find one that caught up or came back.
			excluded.clear();
			await clock.sleep(ROUND_PAUSE_MS);
			continue;
		}

		const patience = lent ? getPatience(parts, lent) : until - clock.now();
		const outcome = await waitForOutcome(parts, underWay, Math.min(patience, until - clock.now()));
		if (outcome?.kind === 'answer') {
			return outcome.answer;
		}

		lastReason = outcome?.reason ?? 'an endpoint took long';
		await noteTried(lent?.endpoint.entry.id);
		log.info('a read is tried again', {
			id: single.id, group: route.group, endpoint: lent?.endpoint.entry.id, reason: lastReason, floor: lent?.floor, leftMs: Math.round(until - clock.now()),
		});
		metrics.countRetry(lastReason);
		if (!outcome && !budget.take(clock.now())) {
			// No second endpoint is loaded with it; the answer is awaited for as long as the statement may take.
			const late = await waitForOutcome(parts, underWay, until - clock.now());
			if (late?.kind === 'answer') {
				return late.answer;
			}
		}
	}

	return refuse(AnswerCode.Overloaded, `${lastReason}; the read left nothing behind`, COME_BACK_MS);
}

/** Pause before endpoints that were all tried are tried anew, in milliseconds: about the usual lag of a replica. */
const ROUND_PAUSE_MS = 25;

function getPatience({knowledge}: GatewayParts, lent: LentLink) {
	return Math.max(LEAST_PATIENCE_MS, PATIENCE_FACTOR * knowledge.getFigures(lent.endpoint.entry.id).serviceMs);
}

/** The first outcome within `ms`, taken out of the set; undefined where there is none yet. */
async function waitForOutcome({clock}: GatewayParts, underWay: Set<Promise<TryOutcome>>, ms: number): Promise<TryOutcome | undefined> {
	const alarm = createSleepAlarm();
	const settled = [...underWay].map(async promise => ({promise, outcome: await promise}));
	const first = await Promise.race([...settled, clock.sleep(ms, alarm)]);
	alarm.abort();
	if (!first) {
		return undefined;
	}

	underWay.delete(first.promise);
	return first.outcome;
}

async function startTry(parts: GatewayParts, lent: LentLink, {id, statement, req}: SingleStatement): Promise<TryOutcome> {
	const answer = await exchangeStatement(parts, lent, req.memory, {
		id, statement, floor: lent.floor, timeoutMs: req.until - parts.clock.now(),
	});
	lent.release();
	if (!answer) {
		return {kind: 'again', reason: 'no whole answer came'};
	}

	if (answer.end.kind === 'error' && RETRIED.has(answer.end.code)) {
		return {kind: 'again', reason: answer.end.code};
	}

	if (answer.end.kind === 'complete') {
		parts.metrics.countRead(lent.evidence ? EndpointRole.Primary : EndpointRole.Replica);
	}

	return {kind: 'answer', answer};
}

/** What says nothing of the read itself, only of the endpoint. */
const RETRIED: ReadonlySet<AnswerCode> = new Set([
	AnswerCode.Overloaded, AnswerCode.Lagging, AnswerCode.ReadOnly, AnswerCode.UnknownStatement, AnswerCode.Failed, AnswerCode.TimedOut,
]);
