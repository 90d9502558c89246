import type {Row} from '../endpoints/endpoint.js';
import type {RefusalCode} from '../refusals/refusal.js';

/** How a request ended, as the caller is told. */
export const Outcome = {
	/** It ran, once, and the answer is whole. */
	Done: 'done',
	/** It is proved that it did not run and never will under this request id. */
	NotRun: 'not-run',
	/** It may have run; the outcome route tells. */
	Unknown: 'unknown',
} as const;

/** One of the outcomes in {@link Outcome}. */
export type Outcome = typeof Outcome[keyof typeof Outcome];

/** The answer to a caller's request. */
export type CallerAnswer = {
	readonly outcome: Outcome;
	readonly requestId: string;
	readonly rows?: readonly Row[];
	/** Name of the endpoint that served it. */
	readonly servedBy?: string;
	readonly term?: number;
	readonly position?: number;
	/** Upper bound of the answer's age in whole milliseconds: since its endpoint was known to hold all that was confirmed; 0 for a write. */
	readonly ageMs?: number;
	/** The session's new token; to be sent with the next request. */
	readonly session?: string;
	readonly refusal?: CallerRefusal;
};

/** The part of an answer that explains a refusal. */
export type CallerRefusal = {
	readonly code: RefusalCode;
	readonly reason: string;
	readonly retryAfterMs?: number;
	/** Signed record of the decision; any proxy explains it. */
	readonly ticket?: string;
};
