import {isHostAlive} from '../membership/is-host-alive.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import {POOL_HOST_ROUND_TRIP_MS, POOL_HOST_WAIT_MS} from './pool-host-timeouts.js';
import type {PoolHostWait} from './pool-host-wait.js';

/** Timeout for a heartbeat of a pool host whose answer is late, in milliseconds. */
const HEARTBEAT_TIMEOUT_MS = 150;

/** A request waits for a short time at each pool host in turn; one that has not answered a read by then is sent a heartbeat, which distinguishes a slow endpoint from a failed pool host. */
export class TurnWait implements PoolHostWait {
	readonly #peers: Peers;
	readonly #clock: Clock;

	constructor({peers, clock}: {readonly peers: Peers; readonly clock: Clock}) {
		this.#peers = peers;
		this.#clock = clock;
	}

	getWaitMs(until: number, now: number): number {
		return Math.min(POOL_HOST_WAIT_MS, until - now);
	}

	async whenOpened<T>(_poolHost: string, response: Promise<T>): Promise<T | undefined> {
		return response;
	}

	async whenRun<T>(poolHost: string, waitMs: number, response: Promise<T>): Promise<T | undefined> {
		const first = await withinMs(this.#clock, waitMs + POOL_HOST_ROUND_TRIP_MS, response);
		return first.timedOut && !await isHostAlive(this.#peers, poolHost, HEARTBEAT_TIMEOUT_MS) ? undefined : response;
	}
}
