import type {AnswerCode, AnswerEnd} from '../statements/statement-answer.js';
import type {LogPosition} from '../terms/log-position.js';
import {getPrintableText} from './printable-text.js';

/** The result of a statement, without the session state that is sent with it. */
export type StatementResult = {
	readonly rows: readonly string[];
	readonly end: AnswerEnd;
	readonly position?: LogPosition;
};

/** The proxy's own answer to a statement that succeeded. */
export const DONE: StatementResult = {rows: [], end: {kind: 'complete'}};

/** A refusal by the proxy itself. */
export type RefusalResult = StatementResult & {readonly end: Extract<AnswerEnd, {kind: 'error'}>};

/**
 * Creates a refusal by the proxy itself.
 * @param retryAfterMs Time after which the caller may try again, in milliseconds; stands at the start of the text where it is given.
 */
export function refuse(code: AnswerCode, reason: string, retryAfterMs?: number): RefusalResult {
	const text = retryAfterMs === undefined ? reason : `retry-after-ms=${Math.ceil(retryAfterMs)} ${reason}`;
	return {
		rows: [], end: {
			kind: 'error', code, text: getPrintableText(text), isOwn: true,
		},
	};
}
