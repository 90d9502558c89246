/**
 * A store that is restored from a backup begins a new generation: its last changes are lost, and it assigns their revisions again. Numbers that must never decrease
 * (revisions, versions of records, epochs, fencing tokens) carry the generation in their upper part, so that comparing them orders the states of the store
 * across any number of restores, and none is used twice. In generation 0 they equal the numbers that the store assigns.
 */

/** Count of the numbers in one generation: enough for a century of one change a second, or 49 days of a thousand, and two million generations fit into a safe integer. */
const NUMBERS_PER_GENERATION = 2 ** 32;

/** Qualifies a number that the store assigned by its generation, so that it can be compared across generations. */
export function qualifyByGeneration(generation: number, number: number): number {
	return (generation * NUMBERS_PER_GENERATION) + number;
}

/** Returns the generation of a qualified number. */
export function getGeneration(qualified: number): number {
	return Math.floor(qualified / NUMBERS_PER_GENERATION);
}

/** Returns a qualified number as the store assigned it. */
export function getWithinGeneration(qualified: number): number {
	return qualified % NUMBERS_PER_GENERATION;
}

/** Returns the number that follows the last known one and is above all numbers assigned in earlier generations, known or lost. */
export function getNextInGeneration(generation: number, last: number): number {
	return Math.max(last, generation * NUMBERS_PER_GENERATION) + 1;
}

/** Formats a qualified number for the log, with the generation first unless that is 0. */
export function formatQualified(qualified: number): string {
	const generation = getGeneration(qualified);
	return generation === 0 ? String(qualified) : `${generation}.${getWithinGeneration(qualified)}`;
}
