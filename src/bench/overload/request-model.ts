import type {WorkClass} from '../../groups/group-config.js';
import type {RefusalCode} from '../../refusals/refusal.js';

/** What one ask of a caller carries. */
export type ModelRequest = {
	readonly class: WorkClass;
	readonly workMs: number;
	readonly deadlineAt: number;
	readonly isRead: boolean;
	/** How long from the ask on the answer must wait for replication, which goes on while the statement waits and runs. */
	readonly replicationMs: number;
};

/** What came of an ask, or of a try at an owner. */
export type ModelAnswer = {
	readonly done: boolean;
	/** It is proved that nothing ran. */
	readonly provedNotRun: boolean;
	readonly code?: RefusalCode;
	readonly retryAfterMs?: number;
};

/** Answers asks: an owner, or an entry before owners. */
export type ModelService = {
	execute(req: ModelRequest): Promise<ModelAnswer>;
};
