/** Source of random values; a seeded one lets a test repeat a run. */
export type Random = {
	/** Returns a number from 0 up to but not including 1. */
	fraction(): number;
	/** Returns `count` random bytes that are suitable for keys and ids. */
	bytes(count: number): Uint8Array;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		random: Random;
	}
}
