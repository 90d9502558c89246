import {randomFillSync} from 'node:crypto';
import type {Random} from './random.js';

/** Bytes drawn from the host at a time; one draw for each request id would cost a twentieth of a request. */
const POOL_BYTES = 8192;

/** Creates the host's source of chance. */
export function createSystemRandom(): Random {
	let pool = new Uint8Array(0);
	let used = 0;

	return {
		fraction: () => Math.random(),
		bytes(count) {
			if (used + count > pool.length) {
				// A new pool, not the old one filled anew: whoever got a part of that may still hold it.
				pool = randomFillSync(new Uint8Array(Math.max(POOL_BYTES, count)));
				used = 0;
			}

			used += count;
			return pool.subarray(used - count, used);
		},
	};
}
