import {randomBytes} from 'node:crypto';
import type {Random} from './random.js';

/** Creates the host's source of chance. */
export function createSystemRandom(): Random {
	return {
		fraction: () => Math.random(),
		bytes: count => randomBytes(count),
	};
}
