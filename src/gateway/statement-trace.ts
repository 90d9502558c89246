import type {LogPosition} from '../terms/log-position.js';

/** What a log line has to tell of a statement's way, or of its transaction's. */
export type StatementTrace = {
	/** Name of the workspace on whose behalf it came. */
	readonly workspace?: string;
	/** Endpoints that it was sent to, in order. */
	readonly endpoints: string[];
	/** Time for which it waited for connections, in milliseconds. */
	linkWaitMs: number;
	/** Epoch of the evidence under which a primary was used last. */
	epoch?: number;
	/** What a replica's log had to hold, last. */
	floor?: LogPosition;
};

/** Creates an empty trace. */
export function createStatementTrace(workspace?: string): StatementTrace {
	return {workspace, endpoints: [], linkWaitMs: 0};
}

/** The fields of a trace in a log line. */
export function describeTrace({workspace, endpoints, linkWaitMs, epoch, floor}: StatementTrace) {
	return {
		workspace, endpoints, linkWaitMs: Math.round(linkWaitMs), usedEpoch: epoch, floor,
	};
}
