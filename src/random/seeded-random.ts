import type {Random} from './random.js';

/** Creates a repeatable source of random values (mulberry32) for tests and benchmarks. */
export function createSeededRandom(seed: number): Random {
	let state = seed >>> 0;

	const fraction = () => {
		state = (state + 0x6D_2B_79_F5) >>> 0;
		let mixed = state;
		mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 0x1_00_00_00_00;
	};

	return {
		fraction,
		bytes: count => Uint8Array.from({length: count}, () => Math.floor(fraction() * 256)),
	};
}
