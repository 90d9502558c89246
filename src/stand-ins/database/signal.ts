/** Notifies all waiters of a change. */
export type Signal = {
	/** Resolves at the next notification; check the condition again afterwards. */
	wait(): Promise<void>;
	notify(): void;
};

/** Creates a signal; a notification without waiters has no effect and is not kept. */
export function createSignal(): Signal {
	let promise: Promise<void> | undefined;
	let wake: (() => void) | undefined;

	return {
		async wait() {
			promise ??= new Promise(resolve => {
				wake = resolve;
			});
			return promise;
		},
		notify() {
			const waking = wake;
			promise = undefined;
			wake = undefined;
			waking?.();
		},
	};
}
