import type {WorkClass} from '../../groups/group-config.js';
import type {RefusalCode} from '../../refusals/refusal.js';

/** One attempt of a caller's request. */
export type ModelRequest = {
	readonly class: WorkClass;
	readonly workMs: number;
	readonly deadlineAt: number;
	readonly isRead: boolean;
	/** Time from arrival at the owner for which the response waits for replication, in milliseconds; it overlaps with queueing and execution. */
	readonly replicationMs: number;
};

/** The result of an attempt, or of a try at an owner. */
export type ModelResponse = {
	readonly done: boolean;
	/** Whether it is proved that the statement did not run. */
	readonly provedNotRun: boolean;
	readonly code?: RefusalCode;
	readonly retryAfterMs?: number;
};

/** Executes requests: an owner, or an entry in front of owners. */
export type ModelService = {
	execute(req: ModelRequest): Promise<ModelResponse>;
};
