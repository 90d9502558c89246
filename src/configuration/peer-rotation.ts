import type {Random} from '../random/random.js';

/** Chooses the peer for each of a series of requests. */
export type PeerRotation = {
	/** Returns the next of the usable addresses; undefined where there is none. */
	next(usable: readonly string[]): string | undefined;
	/** Removes an address that did not respond; the next call fills its place. */
	drop(address: string): void;
};

/** Maximum number of addresses that are used in turn, so that their links stay open instead of one being opened for each request. */
const MAX_MEMBERS = 4;
/** Number of requests after which one member is replaced by another address, so that a few hosts don't request only from each other for long. */
const REQUESTS_PER_REPLACEMENT = 16;

/** Creates a rotation without members. */
export function createPeerRotation(random: Random): PeerRotation {
	let members: string[] = [];
	let requestCount = 0;

	const fill = (usable: readonly string[]) => {
		const others = usable.filter(address => !members.includes(address));
		while (members.length < MAX_MEMBERS && others.length > 0) {
			members.push(...others.splice(Math.floor(random.fraction() * others.length), 1));
		}
	};

	return {
		next(usable) {
			requestCount++;
			members = members.filter(address => usable.includes(address));
			const leaving = requestCount % REQUESTS_PER_REPLACEMENT === 0 && usable.length > MAX_MEMBERS ? members.shift() : undefined;
			fill(usable.filter(address => address !== leaving));
			const [first, ...others] = members;
			members = first === undefined ? [] : [...others, first];
			return first;
		},
		drop(address) {
			members = members.filter(member => member !== address);
		},
	};
}
