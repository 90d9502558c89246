import {createHash} from 'node:crypto';
import type {MirrorState} from './mirror-state.js';

/**
 * Identifies the contents of a copy, part by part: two copies with equal identifiers hold the same.
 *
 * The store's revision does not suffice for that: the lists are read one after the other, so they may hold changes beyond the revision that all of them are complete up to.
 */
export type ContentsId = {
	/** Version of the configuration; 0 if there is none. */
	readonly routing: number;
	readonly endpoints: string;
	/** Digest of the groups' leadership records and of the failover lease. */
	readonly leadership: string;
	readonly hosts: string;
};

/** Identifies a part that holds nothing. */
export const EMPTY_PART = '';

/** Identifies contents of which every part is empty. */
export const EMPTY_ID: ContentsId = {
	routing: 0, endpoints: EMPTY_PART, leadership: EMPTY_PART, hosts: EMPTY_PART,
};

/** Length of a digest in characters of six bits each, which makes a collision between any two parts that a fleet ever holds negligible. */
const DIGEST_LENGTH = 16;

/** Returns the identifier of the contents of a copy. */
export function getContentsId({routing, endpoints, leadership, duty, hosts}: MirrorState): ContentsId {
	const records = [...leadership.values()].map(({group, version, epoch}) => `${group} ${version} ${epoch}`);
	return {
		routing: routing?.version ?? 0,
		endpoints: getDigest(endpoints.map(endpoint => JSON.stringify(Object.entries(endpoint).toSorted(([left], [right]) => compare(left, right))))),
		leadership: getDigest(duty ? [...records, `/duty ${duty.version}`] : records),
		hosts: getDigest(hosts.map(host => describeHost(host))),
	};
}

/**
 * Describes a host's record by its version, and by the members that a host of an earlier version drops when it passes the record on. Guards against a copy that lacks them
 * and counts as equal, so that its host would take another one for the root for as long as the record does not change.
 */
function describeHost({name, version, capacity, storeRttMs}: MirrorState['hosts'][number]): string {
	return [name, version, ...(capacity === undefined ? [] : [`capacity=${capacity}`]), ...(storeRttMs === undefined ? [] : [`rtt=${storeRttMs}`])].join(' ');
}

/** Returns whether two identifiers stand for the same contents. */
export function isSameContents(left: ContentsId, right: ContentsId): boolean {
	return left.routing === right.routing && left.endpoints === right.endpoints && left.leadership === right.leadership && left.hosts === right.hosts;
}

/** Formats an identifier as one string. */
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
