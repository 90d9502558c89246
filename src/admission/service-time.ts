import type {WorkClass} from '../groups/group-config.js';

/** Keeps smoothed means of how long statements hold a slot. */
export type ServiceTime = {
	/** Records how long a slot was held; where the endpoint did not answer, the time is only a lower bound. */
	observe(workClass: WorkClass, heldMs: number, served: boolean): void;
	/** Returns the smoothed time over all classes, in milliseconds. */
	getMeanMs(): number;
	/** Returns the smoothed time of one class, in milliseconds; that of all classes where the class has no sample. */
	getClassMeanMs(workClass: WorkClass): number;
};

/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.1;

/** Creates the means; they are `initialMs` until the first sample. */
export function createServiceTime(initialMs: number): ServiceTime {
	const createEstimate = () => ({meanMs: initialMs, samples: 0});
	const all = createEstimate();
	const classes = {deadline: createEstimate(), interactive: createEstimate(), background: createEstimate()};

	const add = (estimate: typeof all, heldMs: number) => {
		// The first samples have equal weights, so that a wrong initial value soon has no effect.
		const weight = Math.max(SAMPLE_WEIGHT, 1 / (estimate.samples + 1));
		estimate.meanMs += weight * (heldMs - estimate.meanMs);
		estimate.samples++;
	};

	const getEstimate = (workClass: WorkClass) => classes[workClass].samples > 0 ? classes[workClass] : all;

	return {
		observe(workClass, heldMs, served) {
			const isUninformative = !served && heldMs < getEstimate(workClass).meanMs;
			if (isUninformative) {
				return;
			}

			add(all, heldMs);
			add(classes[workClass], heldMs);
		},
		getMeanMs: () => all.meanMs,
		getClassMeanMs: workClass => getEstimate(workClass).meanMs,
	};
}
