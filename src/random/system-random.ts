import {randomFillSync} from 'node:crypto';
import type {Random} from './random.js';

/** Bytes read from the host's random source at a time; one read for each request id would cost a twentieth of a request. */
const POOL_BYTES = 8192;

/** Creates the host's source of random values. */
export function createSystemRandom(): Random {
	let pool = new Uint8Array(0);
	let used = 0;

	return {
		fraction: () => Math.random(),
		bytes(count) {
			if (used + count > pool.length) {
				// A new pool is allocated instead of refilling the old one, since parts of the old one may still be in use.
				pool = randomFillSync(new Uint8Array(Math.max(POOL_BYTES, count)));
				used = 0;
			}

			used += count;
			return pool.subarray(used - count, used);
		},
	};
}
