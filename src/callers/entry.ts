import type {CallerResponse} from './caller-response.js';
import type {CallerRequest} from './caller-request.js';

/**
 * The interface that every caller protocol calls once it has parsed its input.
 * The HTTP interface calls it; a bench may call it directly.
 */
export type Entry = {
	/** Runs one request. Resolves with a final response within the request's deadline; never rejects. */
	execute(group: string, req: CallerRequest, session: string | undefined): Promise<CallerResponse>;
	/** Resolves the outcome of a request whose caller does not know whether it ran. */
	resolveOutcome(group: string, requestId: string, session: string | undefined): Promise<CallerResponse>;
	/** Opens a transaction; the response's `requestId` identifies it. */
	begin(group: string, req: BeginRequest, session: string | undefined): Promise<CallerResponse>;
	/** Runs one statement in a transaction. */
	run(transactionId: string, req: CallerRequest, session?: string): Promise<CallerResponse>;
	/** Commits a transaction; the response's session covers its writes. */
	commit(transactionId: string, session?: string): Promise<CallerResponse>;
	rollback(transactionId: string, session?: string): Promise<CallerResponse>;
};

/** What a caller may state when it opens a transaction. */
export type BeginRequest = Pick<CallerRequest, 'class' | 'deadlineMs' | 'requestId'>;

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		entry: Entry;
	}
}
