import {Access} from '../statements/statement.js';
import {AnswerCode} from '../statements/statement-answer.js';
import {refuse, type RefusalResult} from './statement-result.js';

/** Reason given by a stopping host that rolls back a transaction or refuses a statement. */
export const STOP_REASON = 'the host is stopping';

/** Retry-after of a stopping host, in milliseconds: another host can serve the caller at once. */
const RETRY_AFTER_MS = 50;

/** Answer to a request that a stopping host does not accept. */
export const STOPPING = refuse(AnswerCode.Overloaded, `${STOP_REASON}; nothing ran`, RETRY_AFTER_MS);

/** Answer for a transaction that a stopping host has rolled back. */
export const STOPPED_TRANSACTION = refuse(AnswerCode.Aborted, STOP_REASON);

/** Answer to a commit whose endpoint has not answered by the time the host must end. */
export const STOPPED_COMMIT = refuse(AnswerCode.OutcomeUnknown, `${STOP_REASON} and the commit has no answer`);

/** Returns the answer to a single statement whose endpoint has not answered by the time the host must end; a write may have taken effect. */
export function getStoppedAnswer(access: Access | undefined): RefusalResult {
	return access === Access.Write
		? refuse(AnswerCode.OutcomeUnknown, `${STOP_REASON} and the write has no answer`)
		: refuse(AnswerCode.Overloaded, `${STOP_REASON}; the read left nothing behind`, RETRY_AFTER_MS);
}
