import type {Clock} from '../../src/time/clock.js';

/** The clock of one process that can be paused: its timers fire late, all at once, when it goes on. */
export type PausableClock = Clock & {
	pause(): void;
	resume(): void;
};

/** Creates a process's clock over the one of the world. */
export function createPausableClock(world: Clock): PausableClock {
	let paused = false;
	const overdue: Array<() => void> = [];

	return {
		now: () => world.now(),
		wall: () => world.wall(),
		async sleep(ms, signal) {
			await world.sleep(ms, signal);
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
