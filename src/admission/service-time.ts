import type {WorkClass} from '../groups/group-config.js';

/** Keeps smoothed figures of how long statements hold a slot. */
export type ServiceTime = {
	/** Notes how long a slot was held; where the endpoint gave no answer the time is only a lower bound. */
	observe(workClass: WorkClass, heldMs: number, served: boolean): void;
	/** Smoothed time over all classes, in milliseconds. */
	getMeanMs(): number;
	/** Smoothed time of one class, in milliseconds. */
	getClassMeanMs(workClass: WorkClass): number;
};

/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.1;

/** Creates the figures; `initialMs` stands until the first sample. */
export function createServiceTime(initialMs: number): ServiceTime {
	const createFigure = () => ({meanMs: initialMs, samples: 0});
	const all = createFigure();
	const classes = {deadline: createFigure(), interactive: createFigure(), background: createFigure()};

	const add = (figure: typeof all, heldMs: number) => {
		// The first samples count evenly, so that a wrong initial figure is soon forgotten.
		const weight = Math.max(SAMPLE_WEIGHT, 1 / (figure.samples + 1));
		figure.meanMs += weight * (heldMs - figure.meanMs);
		figure.samples++;
	};

	const getFigure = (workClass: WorkClass) => classes[workClass].samples > 0 ? classes[workClass] : all;

	return {
		observe(workClass, heldMs, served) {
			const isTooLowABound = !served && heldMs < getFigure(workClass).meanMs;
			if (isTooLowABound) {
				return;
			}

			add(all, heldMs);
			add(classes[workClass], heldMs);
		},
		getMeanMs: () => all.meanMs,
		getClassMeanMs: workClass => getFigure(workClass).meanMs,
	};
}
