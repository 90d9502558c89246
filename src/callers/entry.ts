import type {CallerAnswer} from './caller-answer.js';
import type {CallerRequest} from './caller-request.js';

/**
 * The caller side's seam: what every caller protocol calls once it has parsed its input.
 * The HTTP interface stands in front of it; a bench may call it directly.
 */
export type Entry = {
	/** Runs one request. Resolves with a final answer within its deadline; never rejects. */
	execute(group: string, req: CallerRequest, session: string | undefined): Promise<CallerAnswer>;
	/** Settles a request whose caller was left unsure. */
	resolveOutcome(group: string, requestId: string, session: string | undefined): Promise<CallerAnswer>;
	/** Opens a transaction; `requestId` of the answer names it. */
	begin(group: string, req: BeginRequest, session: string | undefined): Promise<CallerAnswer>;
	/** Runs one statement within a transaction. */
	run(transactionId: string, req: CallerRequest, session?: string): Promise<CallerAnswer>;
	/** Commits; the answer's session covers the transaction's writes. */
	commit(transactionId: string, session?: string): Promise<CallerAnswer>;
	rollback(transactionId: string, session?: string): Promise<CallerAnswer>;
};

/** What a caller may say when it opens a transaction. */
export type BeginRequest = Pick<CallerRequest, 'class' | 'deadlineMs' | 'requestId'>;

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		entry: Entry;
	}
}
