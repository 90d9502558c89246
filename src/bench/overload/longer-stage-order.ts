import type {AdmissionRequest} from '../../admission/admission.js';
import type {QueueOrder} from '../../admission/queue-order.js';
import type {ModelRequest} from './request-model.js';

/** How long a statement is believed to run, in milliseconds. */
export type WorkEstimate = (req: ModelRequest) => number;

/**
 * Smallest longer stage first: of a request's execution and its wait for replication, which overlap, the longer one
 * is how long it would take on an idle server.
 *
 * After the MaxSRPT algorithm of "Joint Optimization of Overlapping Phases in MapReduce" (Lin, Wierman, Zhang, Tan), with
 * the stages as they are when the request comes. On trial here; docs/notes/admission.md tells why it was not adopted.
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
