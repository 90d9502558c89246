import {Access} from '../statements/statement.js';
import {AnswerCode} from '../statements/statement-answer.js';
import {refuse, type RefusalResult} from './statement-result.js';

/** Why a host that stops rolls back and takes nothing more. */
export const STOP_REASON = 'the host is stopping';

/** When to come back after that, in milliseconds: another host can serve the caller at once. */
const COME_BACK_MS = 50;

/** Answers what a stopping host does not take. */
export const STOPPING = refuse(AnswerCode.Overloaded, `${STOP_REASON}; nothing ran`, COME_BACK_MS);

/** Answers for a transaction that a stopping host has rolled back. */
export const STOPPED_TRANSACTION = refuse(AnswerCode.Aborted, STOP_REASON);

/** Answers a commit whose endpoint has not when the host has to end. */
export const STOPPED_COMMIT = refuse(AnswerCode.OutcomeUnknown, `${STOP_REASON} and the commit has no answer`);

/** Answers a single statement whose endpoint has not when the host has to end; a write may have taken effect. */
export function getStoppedAnswer(access: Access | undefined): RefusalResult {
	return access === Access.Write
		? refuse(AnswerCode.OutcomeUnknown, `${STOP_REASON} and the write has no answer`)
		: refuse(AnswerCode.Overloaded, `${STOP_REASON}; the read left nothing behind`, COME_BACK_MS);
}
