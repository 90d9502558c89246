import {SessionState, type Statement} from '../statements/statement.js';
import type {CallerChannel} from './caller-channel.js';
import type {RefusalResult} from './statement-result.js';

/** The end of a session that its host began. */
export type GracefulClose = {
	/** Refuses a statement that was in transit when the caller was notified of the session's end; returns the refusal. */
	refuse(statement: Statement): RefusalResult;
};

/**
 * Notifies a caller that has nothing under way that its session ends, and leaves it to the caller to close the connection.
 *
 * Guards against a request that is in transit, or not read yet, when the host ends the session. If the host closed the connection, the caller would get no
 * answer and could not know whether its request ran. After the notification a caller with nothing under way closes. A caller whose request is in transit
 * takes the refusal for its answer, which is correct because the host runs nothing more of the session, and gets the session state once the request
 * arrives. One refusal is always sent ahead of the requests, however many arrive.
 * @param inTransaction Whether an open transaction was rolled back because of it.
 */
export function createGracefulClose(channel: CallerChannel, reason: RefusalResult, inTransaction: boolean): GracefulClose {
	let failed = inTransaction;
	const sendRefusal = () => {
		channel.refuse(reason.end.code, reason.end.text);
	};

	sendRefusal();
	return {
		refuse({kind}) {
			// To its caller the transaction stays failed until the caller ends it.
			failed &&= kind !== 'commit' && kind !== 'rollback';
			channel.endRefusal(failed ? SessionState.Failed : SessionState.Idle);
			sendRefusal();
			return reason;
		},
	};
}
