/** Limits how many statements a server runs at once; others wait in order of arrival. */
export type ServiceSlots = {
	readonly running: number;
	readonly waiting: number;
	/** Acquires a slot; resolves once one is free. */
	acquire(): Promise<void>;
	release(): void;
};

/** Creates `count` free slots. */
export function createServiceSlots(count: number): ServiceSlots {
	const queue: Array<() => void> = [];
	let running = 0;

	return {
		get running() {
			return running;
		},
		get waiting() {
			return queue.length;
		},
		async acquire() {
			if (running < count) {
				running++;
				return;
			}

			await new Promise<void>(resolve => {
				queue.push(resolve);
			});
		},
		release() {
			const next = queue.shift();
			if (next) {
				// The slot is handed to the next waiter without becoming free in between.
				next();
			} else {
				running--;
			}
		},
	};
}
