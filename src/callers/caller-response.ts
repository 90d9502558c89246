import type {Row} from '../endpoints/endpoint.js';
import type {RefusalCode} from '../refusals/refusal.js';

/** The outcome of a request, as reported to the caller. */
export const Outcome = {
	/** It ran exactly once, and the response is complete. */
	Done: 'done',
	/** It provably did not run and never will under this request id. */
	NotRun: 'not-run',
	/** It may have run; the outcome route resolves whether it did. */
	Unknown: 'unknown',
} as const;

/** One of the outcomes in {@link Outcome}. */
export type Outcome = typeof Outcome[keyof typeof Outcome];

/** The response to a caller's request. */
export type CallerResponse = {
	readonly outcome: Outcome;
	readonly requestId: string;
	readonly rows?: readonly Row[];
	/** Name of the endpoint that served the request. */
	readonly servedBy?: string;
	readonly term?: number;
	readonly position?: number;
	/** Upper bound of the data's age in whole milliseconds: the time since its endpoint was known to hold all confirmed writes; 0 for a write. */
	readonly ageMs?: number;
	/** The session's new token, which the caller sends with its next request. */
	readonly session?: string;
	readonly refusal?: CallerRefusal;
};

/** The part of a response that explains a refusal. */
export type CallerRefusal = {
	readonly code: RefusalCode;
	readonly reason: string;
	readonly retryAfterMs?: number;
	/** Signed record of the decision, which any proxy can explain. */
	readonly ticket?: string;
};
