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
	/** Total time in milliseconds for which it waited at each endpoint without getting a connection. */
	readonly unserved: Map<string, number>;
	/** The last queue that refused it before its time was over, and the endpoint of that queue; undefined where none did. */
	queueRefusal?: TracedRefusal;
	/** The primary that could not be used because it has been leaving for too long; undefined where that was not so at the last try. */
	leavingPrimary?: string;
	/** Epoch of the lease under which a primary was used last. */
	epoch?: number;
	/** Log position that the replica used last had to have reached. */
	floor?: LogPosition;
};

/** A refusal of a queue; the endpoint of the queue is undefined where no endpoint could serve the statement. */
export type TracedRefusal = QueueRefusal & {readonly endpoint?: string};

/** Creates an empty trace. */
export function createStatementTrace(workspace?: string): StatementTrace {
	return {
		workspace, endpoints: [], linkWaitMs: 0, unserved: new Map(),
	};
}

/** Notes that the statement waited at an endpoint for `waitedMs` milliseconds without getting a connection. */
export function noteUnserved({unserved}: StatementTrace, endpoint: string, waitedMs: number): void {
	unserved.set(endpoint, (unserved.get(endpoint) ?? 0) + waitedMs);
}

/** Notes that the queue of an endpoint refused the statement. */
export function noteQueueRefusal(trace: StatementTrace, endpoint: string, refusal: QueueRefusal): void {
	trace.queueRefusal = {...refusal, endpoint};
}

/** Returns the fields of a trace for a log line. Those of a refusing queue, and of endpoints that gave no connection, are there only where there was one. */
export function describeTrace({workspace, endpoints, linkWaitMs, unserved, queueRefusal, leavingPrimary, epoch, floor}: StatementTrace) {
	return {
		workspace,
		endpoints,
		linkWaitMs: Math.round(linkWaitMs),
		...(unserved.size > 0 && {unservedMs: Object.fromEntries([...unserved].map(([endpoint, ms]) => [endpoint, Math.round(ms)]))}),
		...(queueRefusal && describeQueueRefusal(queueRefusal)),
		...(leavingPrimary !== undefined && {leavingPrimary}),
		usedEpoch: epoch,
		floor,
	};
}

function describeQueueRefusal({endpoint, reason, predictedWaitMs, retryAfterMs, queued, limit}: TracedRefusal) {
	return {
		refusedBy: endpoint, queueReason: reason, predictedWaitMs: Math.round(predictedWaitMs), retryAfterMs: Math.round(retryAfterMs), queued, limit,
	};
}
