/** Why a scheduled queue refused a request. */
export const RefusalCause = {
	/** On arrival it was predicted to start after the time that its caller gives it. */
	Predicted: 'predicted',
	/** While it waited, more urgent requests or a slower endpoint moved its start beyond that time. */
	Overtaken: 'overtaken',
	/** Its time passed. */
	Expired: 'expired',
	/** The endpoint does not answer, or refuses connections. */
	Unreachable: 'unreachable',
} as const;

/** One of the causes in {@link RefusalCause}. */
export type RefusalCause = typeof RefusalCause[keyof typeof RefusalCause];

/** Metrics of the scheduled queues, by priority level. */
export type SchedulingMetrics = {
	/** Observes a request that got a connection: its predicted and its real wait, in seconds. */
	observeScheduledWait(level: number, predictedSeconds: number, waitedSeconds: number): void;
	/** Counts a request that a queue refused. */
	countQueueRefusal(level: number, cause: RefusalCause): void;
	/** Changes the number of waiting requests of all queues. */
	addQueued(level: number, change: number): void;
};
