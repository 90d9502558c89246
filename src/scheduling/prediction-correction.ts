/** Learns by which factor measured waits differ from those that a model estimates. */
export type PredictionCorrection<Class> = {
	/** Returns the factor of a class, 1 until something was learned. */
	get(workClass: Class): number;
	/** Learns from a request that waited `waitedMs` where the model had estimated `modelMs`, both in milliseconds. */
	learn(workClass: Class, modelMs: number, waitedMs: number): void;
};

/** Weight of the newest wait. */
const LEARNING_WEIGHT = 0.05;

/** Wait in milliseconds that the correction starts from as if it had been predicted exactly: the weight of the model at the start. */
const INITIAL_WAIT_MS = 20;

const MIN_CORRECTION = 0.5;
const MAX_CORRECTION = 4;

/** Creates a correction that has learned nothing yet. */
export function createPredictionCorrection<Class>(): PredictionCorrection<Class> {
	const learned = new Map<Class, {modelMs: number; waitedMs: number}>();

	return {
		get(workClass) {
			const waits = learned.get(workClass);
			return waits ? Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, waits.waitedMs / waits.modelMs)) : 1;
		},
		learn(workClass, modelMs, waitedMs) {
			const waits = learned.get(workClass) ?? {modelMs: INITIAL_WAIT_MS, waitedMs: INITIAL_WAIT_MS};
			waits.modelMs += LEARNING_WEIGHT * (modelMs - waits.modelMs);
			waits.waitedMs += LEARNING_WEIGHT * (waitedMs - waits.waitedMs);
			learned.set(workClass, waits);
		},
	};
}
