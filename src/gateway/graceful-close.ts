import {SessionState, type Statement} from '../statements/statement.js';
import type {CallerChannel} from './caller-channel.js';
import type {RefusalResult} from './statement-result.js';

/** The end of a session that its host began. */
export type GracefulClose = {
	/** Refuses a statement that was on its way when the session's end was told; returns what its caller is told. */
	refuse(statement: Statement): RefusalResult;
};

/**
 * Tells a caller that has nothing under way that its session ends, and leaves the closing to the caller.
 *
 * Guards against a request that is on its way, or not read yet, when the host ends the session: closed by the host, the connection
 * ends without an answer, and the caller cannot know whether its request ran. Told first, a caller with nothing under way closes; one whose request is on its
 * way takes the refusal for the answer to it, which is true since the host runs nothing of the session any more, and gets the state behind it once the
 * request is here. An error is always ahead, however many requests come.
 * @param inTransaction Whether an open transaction was rolled back for it.
 */
export function createGracefulClose(channel: CallerChannel, reason: RefusalResult, inTransaction: boolean): GracefulClose {
	let failed = inTransaction;
	const tell = () => {
		channel.refuse(reason.end.code, reason.end.text);
	};

	tell();
	return {
		refuse({kind}) {
			// What was rolled back stays failed to its caller until it asks for the end.
			failed &&= kind !== 'commit' && kind !== 'rollback';
			channel.endRefusal(failed ? SessionState.Failed : SessionState.Idle);
			tell();
			return reason;
		},
	};
}
