/** Where chance comes from, so that a test can repeat a run. */
export type Random = {
	/** A number from 0 up to but not including 1. */
	fraction(): number;
	/** Random bytes, fit for keys and ids. */
	bytes(count: number): Uint8Array;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		random: Random;
	}
}
