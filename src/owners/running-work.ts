/** Records the work that this host runs at a group's endpoints, for operators who wait for a drain and for failover's poll interval. */
export type RunningWork = {
	/** Records that work begins; the returned function records its end. */
	begin(endpoint: string, work: WorkInProgress): () => void;
	/** Returns the work in progress at an endpoint, oldest first. */
	getAt(endpoint: string): readonly WorkInProgress[];
	/** Returns the time since work last began, in milliseconds: 0 while any runs, Infinity if none ever did. */
	getIdleMs(now: number): number;
};

/** A request or transaction in progress at an endpoint. */
export type WorkInProgress = {
	readonly what: 'read' | 'write' | 'resolve' | 'transaction';
	readonly requestId: string;
	/** When it began, by the clock's `now`. */
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
