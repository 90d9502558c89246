import type {Kernel} from '../kernel/kernel.js';

/** The parts that nearly every service is made with. */
export function getCommonParts(kernel: Kernel) {
	return {
		clock: kernel.getOrThrow('clock'),
		random: kernel.getOrThrow('random'),
		log: kernel.getOrThrow('log'),
	};
}
