/** Slots in which a server runs statements, first come first served. */
export type ServiceSlots = {
	/** Resolves once a slot is free for the caller. */
	take(): Promise<void>;
	give(): void;
};

/** Creates free slots. */
export function createServiceSlots(count: number): ServiceSlots {
	const waiting: Array<() => void> = [];
	let free = count;

	return {
		async take() {
			if (free > 0) {
				free--;
				return;
			}

			await new Promise<void>(resolve => {
				waiting.push(resolve);
			});
		},
		give() {
			const next = waiting.shift();
			if (next) {
				next();
			} else {
				free++;
			}
		},
	};
}
