import type {QueueRefusal} from '../links/endpoint-pool.js';
import type {LogPosition} from '../terms/log-position.js';

/** How a statement, or its transaction, was routed, for log lines. */
export type StatementTrace = {
	/** Name of the caller's workspace. */
	readonly workspace?: string;
	/** Ids of the endpoints that it was sent to, in order. */
	readonly endpoints: string[];
	/** Total time for which it waited for connections, in milliseconds. */
	linkWaitMs: number;
	/** Epoch of the lease under which a primary was used last. */
	epoch?: number;
	/** Log position that the replica used last had to have reached. */
	floor?: LogPosition;
	/** The refusal of the pool that refused it last; undefined where none did, or a connection was acquired since. */
	refusal?: TracedRefusal;
};

/** A refusal of a pool, with the state of its endpoint as this host knew it. */
export type TracedRefusal = QueueRefusal & {
	/** Id of the endpoint; undefined where no endpoint could serve the statement. */
	readonly endpoint?: string;
	readonly queued?: number;
	readonly limit?: number;
};

/** Creates an empty trace. */
export function createStatementTrace(workspace?: string): StatementTrace {
	return {workspace, endpoints: [], linkWaitMs: 0};
}

/** Returns the fields of a trace for a log line. */
export function describeTrace({workspace, endpoints, linkWaitMs, epoch, floor, refusal}: StatementTrace) {
	return {
		workspace, endpoints, linkWaitMs: Math.round(linkWaitMs), usedEpoch: epoch, floor, ...(refusal && describeRefusal(refusal)),
	};
}

function describeRefusal({reason, predictedWaitMs, retryAfterMs, endpoint, queued, limit}: TracedRefusal) {
	return {
		refusedBy: endpoint, refusedFor: reason, predictedWaitMs: Math.round(predictedWaitMs), retryAfterMs: Math.ceil(retryAfterMs), queued, limit,
	};
}
