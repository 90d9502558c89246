import type {AnswerCode, AnswerEnd} from '../statements/statement-answer.js';
import type {LogPosition} from '../terms/log-position.js';

/** What a statement brought, before the session's state is put beside it. */
export type StatementResult = {
	readonly rows: readonly string[];
	readonly end: AnswerEnd;
	readonly position?: LogPosition;
};

/** The proxy's own answer that all went well. */
export const DONE: StatementResult = {rows: [], end: {kind: 'complete'}};

/** A refusal of the proxy's own. */
export type RefusalResult = StatementResult & {readonly end: Extract<AnswerEnd, {kind: 'error'}>};

/**
 * Makes a refusal of the proxy's own.
 * @param comeBackMs When to come back, in milliseconds; leads the text where it is given.
 */
export function refuse(code: AnswerCode, reason: string, comeBackMs?: number): RefusalResult {
	const text = comeBackMs === undefined ? reason : `retry-after-ms=${Math.ceil(comeBackMs)} ${reason}`;
	return {rows: [], end: {kind: 'error', code, text}};
}
