/** Keeps smoothed means of how long work of each class holds a slot. */
export type ServiceTime<Class> = {
	/** Records how long a slot was held; where the endpoint did not answer, the time is only a lower bound. */
	observe(workClass: Class, heldMs: number, served: boolean): void;
	/** Returns the smoothed time over all classes, in milliseconds. */
	getMeanMs(): number;
	/** Returns the smoothed time of one class, in milliseconds; that of all classes where the class has no sample. */
	getClassMeanMs(workClass: Class): number;
	/** Returns whether the class has a sample. */
	has(workClass: Class): boolean;
};

/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.1;

/** Number of classes that have a mean of their own; bounds the memory where classes are the prepared statements of callers. */
const MAX_CLASSES = 512;

/** Creates the means; they are `initialMs` until the first sample. */
export function createServiceTime<Class>(initialMs: number): ServiceTime<Class> {
	const createEstimate = () => ({meanMs: initialMs, samples: 0});
	const all = createEstimate();
	const classes = new Map<Class, typeof all>();

	const add = (estimate: typeof all, heldMs: number) => {
		// The first samples have equal weights, so that a wrong initial value soon has no effect.
		const weight = Math.max(SAMPLE_WEIGHT, 1 / (estimate.samples + 1));
		estimate.meanMs += weight * (heldMs - estimate.meanMs);
		estimate.samples++;
	};

	const getEstimate = (workClass: Class) => classes.get(workClass) ?? all;

	return {
		observe(workClass, heldMs, served) {
			const isUninformative = !served && heldMs < getEstimate(workClass).meanMs;
			if (isUninformative) {
				return;
			}

			add(all, heldMs);
			const estimate = classes.get(workClass) ?? (classes.size < MAX_CLASSES ? createEstimate() : undefined);
			if (estimate) {
				add(estimate, heldMs);
				classes.set(workClass, estimate);
			}
		},
		getMeanMs: () => all.meanMs,
		getClassMeanMs: workClass => getEstimate(workClass).meanMs,
		has: workClass => classes.has(workClass),
	};
}
