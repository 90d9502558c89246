import type {CallerAnswer} from './caller-answer.js';
import type {CallerRequest} from './caller-request.js';

/**
 * The interface that every caller protocol calls once it has parsed its input.
 * The HTTP interface calls it; a bench may call it directly.
 */
export type Entry = {
	/** Runs one request. Resolves with a final response within the request's deadline; never rejects. */
	execute(group: string, req: CallerRequest, session: string | undefined): Promise<CallerAnswer>;
	/** Resolves the outcome of a request whose caller does not know whether it ran. */
	resolveOutcome(group: string, requestId: string, session: string | undefined): Promise<CallerAnswer>;
	/** Opens a transaction; the response's `requestId` identifies it. */
	begin(group: string, req: BeginRequest, session: string | undefined): Promise<CallerAnswer>;
	/** Runs one statement in a transaction. */
	run(transactionId: string, req: CallerRequest, session?: string): Promise<CallerAnswer>;
	/** Commits a transaction; the response's session covers its writes. */
	commit(transactionId: string, session?: string): Promise<CallerAnswer>;
	rollback(transactionId: string, session?: string): Promise<CallerAnswer>;
};

/** What a caller may state when it opens a transaction. */
export type BeginRequest = Pick<CallerRequest, 'class' | 'deadlineMs' | 'requestId'>;

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		entry: Entry;
	}
}
