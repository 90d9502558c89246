import type {AdmissionRequest} from '../../admission/admission.js';
import type {QueueOrder} from '../../admission/queue-order.js';
import type {ModelRequest} from './request-model.js';

/** Returns the estimated execution time of a statement, in milliseconds. */
export type WorkEstimate = (req: ModelRequest) => number;

/**
 * Orders requests by their longer stage, shortest first. A request's execution and its wait for replication overlap, so the
 * longer of the two is its time on an idle server.
 *
 * Follows the MaxSRPT algorithm of "Joint Optimization of Overlapping Phases in MapReduce" (Lin, Wierman, Zhang, Tan), with
 * the stages as they are on arrival. It is only compared here; docs/notes/admission.md states why it was not adopted.
 */
export class LongerStageOrder implements QueueOrder {
	readonly #estimate: WorkEstimate;

	constructor(estimate: WorkEstimate) {
		this.#estimate = estimate;
	}

	compare(left: AdmissionRequest, right: AdmissionRequest): number {
		return this.#getLongerStageMs(left as ModelRequest) - this.#getLongerStageMs(right as ModelRequest);
	}

	#getLongerStageMs(req: ModelRequest): number {
		return Math.max(this.#estimate(req), req.replicationMs);
	}
}
