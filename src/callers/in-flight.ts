/** Counts work in progress, so that a graceful stop can wait for its end. */
export type InFlight = {
	readonly count: number;
	/** Increments the count; the returned function decrements it, once. */
	enter(): () => void;
	/** Resolves as soon as nothing is in progress. */
	whenIdle(): Promise<void>;
};

/** Creates a counter at zero. */
export function createInFlight(): InFlight {
	let count = 0;
	const waiters = new Set<() => void>();

	const leaveOne = () => {
		count--;
		if (count > 0) {
			return;
		}

		for (const wake of waiters) {
			wake();
		}

		waiters.clear();
	};

	return {
		get count() {
			return count;
		},
		enter() {
			count++;
			let entered = true;
			return () => {
				if (entered) {
					entered = false;
					leaveOne();
				}
			};
		},
		async whenIdle() {
			if (count === 0) {
				return;
			}

			await new Promise<void>(resolve => {
				waiters.add(resolve);
			});
		},
	};
}
