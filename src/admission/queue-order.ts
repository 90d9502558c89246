import type {AdmissionRequest} from './admission.js';

/** Decides which of two requests of one class runs first. */
export type QueueOrder = {
	/** Returns a negative number where `left` runs before `right`; requests that compare equal keep their order of arrival. */
	compare(left: AdmissionRequest, right: AdmissionRequest): number;
};

/** Earliest deadline first. */
export class DeadlineOrder implements QueueOrder {
	compare(left: AdmissionRequest, right: AdmissionRequest): number {
		return left.deadlineAt - right.deadlineAt;
	}
}
