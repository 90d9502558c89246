import {AnswerCode} from '../statements/statement-answer.js';
import {exchangeStatement} from './exchange.js';
import type {GatewayParts} from './gateway-parts.js';
import {mayAcknowledge} from './judge-commit.js';
import {lendPrimary} from './lend-link.js';
import type {SingleStatement} from './run-read.js';
import {refuse, type StatementResult} from './statement-result.js';

/** When to come back after a write that found no primary, in milliseconds: a third of a promotion. */
const COME_BACK_MS = 400;

/** Pause before a primary that turned a write away is asked again, in milliseconds: a few statements' time. */
const BUSY_PAUSE_MS = 20;

/**
 * Runs a write outside a transaction. It goes out again only where the endpoint itself said that it did not run: a
 * write without an answer may have taken effect, and would be doubled.
 */
export async function runWrite(parts: GatewayParts, single: SingleStatement): Promise<StatementResult> {
	const {clock, log, metrics, mirror} = parts;
	const {id, statement, req} = single;
	const {group} = req.route;
	let lastReason = 'no primary could be used';

	while (clock.now() < req.until && req.isWanted() && !req.patience.isOver(clock.now())) {
		const lent = await lendPrimary(parts, req);
		if (!lent) {
			break;
		}

		const {evidence} = lent;
		const answer = await exchangeStatement(parts, lent, req.memory, {id, statement, timeoutMs: req.until - clock.now()});
		lent.release();
		if (!answer) {
			log.warn('the outcome of a write is unknown: it was sent and no whole answer came', {
				id, group, endpoint: lent.endpoint.entry.id, epoch: evidence?.epoch,
			});
			return refuse(AnswerCode.OutcomeUnknown, 'the write was sent and no answer came');
		}

		if (answer.end.kind === 'error' && DID_NOT_RUN.has(answer.end.code)) {
			lastReason = answer.end.code;
			log.info('a write did not run and is tried again', {
				id, group, endpoint: lent.endpoint.entry.id, reason: lastReason, leftMs: Math.round(req.until - clock.now()),
			});
			metrics.countRetry(lastReason);
			mirror.confirmSoon();
			await clock.sleep(BUSY_PAUSE_MS);
			continue;
		}

		if (answer.end.kind === 'complete') {
			if (evidence && !await mayAcknowledge(parts, evidence, id)) {
				return refuse(AnswerCode.OutcomeUnknown, 'the primary may have been replaced before it wrote');
			}

			if (answer.position) {
				req.memory.floors.set(group, answer.position);
			}
		}

		return answer;
	}

	return refuse(AnswerCode.Overloaded, `${lastReason}; the write was not run`, COME_BACK_MS);
}

const DID_NOT_RUN: ReadonlySet<AnswerCode> = new Set([AnswerCode.Overloaded, AnswerCode.ReadOnly, AnswerCode.UnknownStatement]);
