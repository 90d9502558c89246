/**
 * A store that comes back from a copy begins a new generation: its last changes are lost, and it gives their revisions out again. Numbers that must not go back
 * with it (revisions, versions of records, epochs, fencing tokens) carry the generation in their upper part, so that comparing them orders the states of the store
 * across any number of returns, and none is used twice. In generation 0 they are what the store gives out.
 */

/** Numbers of one generation: more changes than a store sees in a century at a thousand a second lie below, and two million generations fit into a safe integer. */
const SPAN = 2 ** 32;

/** Places a number that the store gave out in a generation among those of all generations. */
export function placeInGeneration(generation: number, number: number): number {
	return (generation * SPAN) + number;
}

/** The generation of a number. */
export function getGeneration(placed: number): number {
	return Math.floor(placed / SPAN);
}

/** The number as the store gave it out. */
export function getWithinGeneration(placed: number): number {
	return placed % SPAN;
}

/** The number that follows the last one that is known, above all that were given in earlier generations, known or lost. */
export function getNextInGeneration(generation: number, last: number): number {
	return Math.max(last, generation * SPAN) + 1;
}

/** Writes a number for a log line, the generation first where there is one. */
export function formatPlaced(placed: number): string {
	const generation = getGeneration(placed);
	return generation === 0 ? String(placed) : `${generation}.${getWithinGeneration(placed)}`;
}
