/** What runs at a group's endpoints through this host, for operators who wait for a drain. */
export type RunningWork = {
	/** Notes that work begins; the returned call notes its end. */
	begin(endpoint: string, work: WorkInProgress): () => void;
	/** The work at an endpoint, oldest first. */
	getAt(endpoint: string): readonly WorkInProgress[];
	/** How long nothing has begun and nothing has run, in milliseconds; Infinity where nothing ever did. */
	getIdleMs(now: number): number;
};

/** A request or transaction that runs at an endpoint. */
export type WorkInProgress = {
	readonly what: 'read' | 'write' | 'resolve' | 'transaction';
	readonly requestId: string;
	/** When it began, on the clock's `now`. */
	readonly since: number;
};

/** Creates an empty record. */
export function createRunningWork(): RunningWork {
	const byEndpoint = new Map<string, Set<WorkInProgress>>();
	let begunAt = -Infinity;
	let total = 0;

	return {
		begin(endpoint, work) {
			const running = byEndpoint.get(endpoint) ?? new Set();
			byEndpoint.set(endpoint, running);
			running.add(work);
			begunAt = work.since;
			total++;
			return () => {
				if (running.delete(work)) {
					total--;
				}
			};
		},
		// A set keeps the order in which work began.
		getAt: endpoint => [...byEndpoint.get(endpoint) ?? []],
		getIdleMs: now => total > 0 ? 0 : now - begunAt,
	};
}
