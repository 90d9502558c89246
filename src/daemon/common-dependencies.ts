import type {Kernel} from '../kernel/kernel.js';

/** Returns the dependencies that nearly every service needs. */
export function getCommonDependencies(kernel: Kernel) {
	return {
		clock: kernel.getOrThrow('clock'),
		random: kernel.getOrThrow('random'),
		log: kernel.getOrThrow('log'),
	};
}
