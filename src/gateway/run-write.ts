import type {RetryBudget} from '../retries/retry-budget.js';
import {AnswerCode} from '../statements/statement-answer.js';
import {exchangeStatement} from './exchange.js';
import type {GatewayParts} from './gateway-parts.js';
import {mayAcknowledge} from './acknowledge-commit.js';
import {acquirePrimary} from './acquire-link.js';
import type {SingleStatement} from './run-read.js';
import {createWriteAttempts} from './second-attempts.js';
import {refuse, type StatementResult} from './statement-result.js';

/** Retry-after of a write that found no primary, where no pool gave one, in milliseconds: a third of a promotion. */
const RETRY_AFTER_MS = 400;

/** Delay before a refused write is sent again, in milliseconds: the time of a few statements. */
const BUSY_PAUSE_MS = 20;

/**
 * Runs a write outside a transaction. Sends it again only where the endpoint reported that it did not run: a
 * write without an answer may have taken effect, and would be applied twice.
 */
export async function runWrite(parts: GatewayParts, budget: RetryBudget, single: SingleStatement): Promise<StatementResult> {
	const {clock, log, metrics, mirror} = parts;
	const {id, statement, req} = single;
	const {group} = req.route;
	const attempts = createWriteAttempts(parts, budget);
	let lastReason = 'no primary could be used';
	attempts.noteArrived();

	while (clock.now() < req.until && req.isWanted() && !req.queueTimeout.isOver(clock.now())) {
		const acquired = await acquirePrimary(parts, req);
		if (!acquired) {
			lastReason = req.trace.queueRefusal?.reason ?? (req.trace.leavingPrimary === undefined ? lastReason : 'the primary is leaving and has no successor yet');
			break;
		}

		const {lease} = acquired;
		const before = parts.knowledge.getSamples(group).getNewest()?.position;
		const answer = await exchangeStatement(parts, acquired, req.memory, {id, statement, timeoutMs: req.until - clock.now()});
		acquired.release();
		if (!answer) {
			log.warn('the outcome of a write is unknown: it was sent and no whole answer came', {
				id, group, endpoint: acquired.endpoint.entry.id, epoch: lease?.epoch,
			});
			return refuse(AnswerCode.OutcomeUnknown, 'the write was sent and no answer came');
		}

		if (answer.end.kind === 'error' && NOT_RUN_CODES.has(answer.end.code)) {
			lastReason = answer.end.code;
			log.info('a write did not run and is tried again', {
				id, group, endpoint: acquired.endpoint.entry.id, reason: lastReason, leftMs: Math.round(req.until - clock.now()),
			});
			if (!attempts.mayTryAgain(lastReason, answer.unsent === true)) {
				break;
			}

			metrics.countRetry(lastReason);
			mirror.confirmSoon();
			await clock.sleep(BUSY_PAUSE_MS);
			continue;
		}

		attempts.noteAnswered();
		if (answer.end.kind === 'complete') {
			if (lease && !await mayAcknowledge(parts, lease, id, {position: answer.position, before})) {
				return refuse(AnswerCode.OutcomeUnknown, 'the primary may have been replaced before it wrote');
			}

			if (answer.position) {
				req.memory.floors.set(group, answer.position);
			}
		}

		return answer;
	}

	return refuse(AnswerCode.Overloaded, `${lastReason}; the write was not run`, req.trace.queueRefusal?.retryAfterMs ?? RETRY_AFTER_MS);
}

/** Errors that prove that the endpoint did not run the write. */
const NOT_RUN_CODES: ReadonlySet<AnswerCode> = new Set([AnswerCode.Overloaded, AnswerCode.ReadOnly, AnswerCode.UnknownStatement]);
