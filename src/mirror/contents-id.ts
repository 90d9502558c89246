import {createHash} from 'node:crypto';
import type {MirrorState} from './mirror-state.js';

/**
 * Names the contents of a copy, each part for itself: two copies whose parts have the same names hold the same.
 *
 * The store's revision does not do that: lists read one after the other hold changes beyond the revision that all of them are complete up to.
 */
export type ContentsId = {
	/** Version of the configuration; 0 where there is none. */
	readonly routing: number;
	readonly endpoints: string;
	/** The groups' records and the duty's. */
	readonly leadership: string;
	readonly hosts: string;
};

/** Names a part that holds nothing. */
export const EMPTY_PART = '';

/** Names contents of which every part is empty. */
export const EMPTY_ID: ContentsId = {
	routing: 0, endpoints: EMPTY_PART, leadership: EMPTY_PART, hosts: EMPTY_PART,
};

/** Characters of a digest, six bits each: far beyond the chance of two parts that a fleet ever holds. */
const DIGEST_LENGTH = 16;

/** Names what a copy holds. */
export function getContentsId({routing, endpoints, leadership, duty, hosts}: MirrorState): ContentsId {
	const records = [...leadership.values()].map(({group, version, epoch}) => `${group} ${version} ${epoch}`);
	return {
		routing: routing?.version ?? 0,
		endpoints: getDigest(endpoints.map(endpoint => JSON.stringify(Object.entries(endpoint).toSorted(([left], [right]) => compare(left, right))))),
		leadership: getDigest(duty ? [...records, `/duty ${duty.version}`] : records),
		hosts: getDigest(hosts.map(({name, version}) => `${name} ${version}`)),
	};
}

/** Whether two copies hold the same. */
export function isSameContents(left: ContentsId, right: ContentsId): boolean {
	return left.routing === right.routing && left.endpoints === right.endpoints && left.leadership === right.leadership && left.hosts === right.hosts;
}

/** Writes a name as one string. */
export function formatContentsId({routing, endpoints, leadership, hosts}: ContentsId): string {
	return [routing, endpoints, leadership, hosts].join('/');
}

function getDigest(items: readonly string[]): string {
	if (items.length === 0) {
		return EMPTY_PART;
	}

	const hash = createHash('sha256');
	for (const item of items.toSorted(compare)) {
		hash.update(item).update('\n');
	}

	return hash.digest('base64url').slice(0, DIGEST_LENGTH);
}

function compare(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}
