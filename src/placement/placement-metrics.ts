import type {EjectionReason} from '../outliers/group-outliers.js';

/** Metrics of the placement of reads. */
export type PlacementMetrics = {
	/** Counts the ejection of an endpoint from reads. */
	countEjection(reason: EjectionReason): void;
	/** Observes by how much a replica passed a floor before or after the predicted time. */
	observeCatchUpError(seconds: number): void;
	/** Observes the age of the newest load report of an endpoint that a read was sent to. */
	observeLoadAge(seconds: number): void;
};
