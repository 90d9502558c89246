import type {HostWatch, WatchOptions} from './host-watch.js';
import type {PoolHostWait} from './pool-host-wait.js';

/**
 * A request waits at one pool host for as long as its own time allows, since it would lose its place in the queue at each other one. Heartbeats show meanwhile that the pool host
 * is alive; one that misses a heartbeat is left.
 */
export class SinglePlaceWait implements PoolHostWait {
	readonly #hostWatch: HostWatch;

	constructor(hostWatch: HostWatch) {
		this.#hostWatch = hostWatch;
	}

	getWaitMs(until: number, now: number): number {
		return until - now;
	}

	async whenOpened<T>(poolHost: string, response: Promise<T>, isWanted: () => boolean): Promise<T | undefined> {
		return this.#watch(poolHost, response, isWanted);
	}

	async whenRun<T>(poolHost: string, _waitMs: number, response: Promise<T>, isWanted: () => boolean): Promise<T | undefined> {
		return this.#watch(poolHost, response, isWanted);
	}

	async #watch<T>(poolHost: string, response: Promise<T>, isWanted: WatchOptions['isWanted']): Promise<T | undefined> {
		let isEnded = false;
		const result = await this.#hostWatch.watch(poolHost, response, {
			isWanted, onEnded() {
				isEnded = true;
			},
		});
		if (!isEnded) {
			this.#hostWatch.noteHeard(poolHost);
		}

		return result;
	}
}
