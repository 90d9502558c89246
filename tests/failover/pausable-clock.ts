import type {Clock} from '../../src/time/clock.js';

/** The clock of a process that can be paused: timers that become due meanwhile fire together when it resumes. */
export type PausableClock = Clock & {
	pause(): void;
	resume(): void;
};

/** Creates the clock of one process over the clock that all processes share. */
export function createPausableClock(shared: Clock): PausableClock {
	let paused = false;
	const overdue: Array<() => void> = [];

	return {
		now: () => shared.now(),
		wall: () => shared.wall(),
		async sleep(ms, signal) {
			await shared.sleep(ms, signal);
			if (paused) {
				await new Promise<void>(resolve => {
					overdue.push(resolve);
				});
			}
		},
		pause() {
			paused = true;
		},
		resume() {
			paused = false;
			for (const fire of overdue.splice(0)) {
				fire();
			}
		},
	};
}
