import {performance} from 'node:perf_hooks';
import type {Clock} from './clock.js';

/** Creates the clock of this host. */
export function createSystemClock(): Clock {
	return {
		now: () => performance.timeOrigin + performance.now(),
		wall: () => Date.now(),
		async sleep(ms, signal) {
			if (signal?.aborted) {
				return;
			}

			await new Promise<void>(resolve => {
				const finish = () => {
					clearTimeout(timer);
					signal?.removeEventListener('abort', finish);
					resolve();
				};

				const timer = setTimeout(finish, ms);
				signal?.addEventListener('abort', finish, {once: true});
			});
		},
	};
}
