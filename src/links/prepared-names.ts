import {getShapeKey} from '../statements/shape-key.js';
import type {PreparedShape} from '../statements/statement.js';

/** The prepared statements of one connection, with the names that the connection gives them. */
export type PreparedNames = {
	/** Number of shapes that have a name. */
	readonly size: number;
	/** Returns the name of a shape; undefined where it is not prepared. */
	getName(shape: PreparedShape): string | undefined;
	/**
	 * Gives a name to a shape that has none; the least recently used one loses its name where there are too many. Returns undefined where every name is in use or waits to be
	 * confirmed as free.
	 */
	add(shape: PreparedShape): NewName | undefined;
	/** Forgets all shapes, at a reset of the connection; `confirmReset` is to be called once the endpoint has done it, since their names are not given to other shapes before. */
	clear(): {confirmReset(): void};
};

/** The name of a shape that is to be prepared. */
export type NewName = {
	readonly name: string;
	/** Set where a statement has to be closed at the endpoint. */
	readonly evicted?: EvictedName;
};

/** The name of a statement that has to be closed at the endpoint. */
export type EvictedName = {
	readonly name: string;
	/** To be called once the endpoint has closed the statement; the name is not given to another shape before. */
	confirmClosed(): void;
};

/**
 * Each name is one byte, so that it is not longer than a caller's own name: a request that a caller may send then never exceeds the size limit at the endpoint. It
 * holds nothing of the shape, so no text of a caller can be taken for a name, or a name for another.
 */
const NAMES = 'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789';

/** Maximum number of statements that are prepared on one connection; the names beyond it replace those that are being closed. */
export const MAX_PREPARED = 56;

/** Creates the names of a connection on which nothing is prepared. */
export function createPreparedNames(): PreparedNames {
	/** Names by the keys of their shapes, the least recently used first. */
	const names = new Map<string, string>();
	const free = [...NAMES];

	const evict = (): EvictedName => {
		const [key, name] = names.entries().next().value!;
		names.delete(key);
		return {
			name,
			confirmClosed() {
				free.push(name);
			},
		};
	};

	return {
		get size() {
			return names.size;
		},
		getName(shape) {
			const key = getShapeKey(shape);
			const name = names.get(key);
			if (name !== undefined) {
				// The map is ordered by last use.
				names.delete(key);
				names.set(key, name);
			}

			return name;
		},
		add(shape) {
			const name = free.shift();
			if (name === undefined) {
				return undefined;
			}

			const evicted = names.size >= MAX_PREPARED ? evict() : undefined;
			names.set(getShapeKey(shape), name);
			return {name, evicted};
		},
		clear() {
			const released = [...names.values()];
			names.clear();
			return {
				confirmReset() {
					free.push(...released);
				},
			};
		},
	};
}
