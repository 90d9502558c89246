import xxhash from 'xxhashjs';

/** The hash of a name, computed once and mixed with many others: two signed 32-bit integers. */
export type NameHash = {
	readonly high: number;
	readonly low: number;
};

/** Maximum number of names whose hashes are cached: all hosts are ranked again whenever one of them changes. */
const MAX_CACHED_HASHES = 10_000;

const cachedHashes = new Map<string, NameHash>();

/** Hashes a name with xxHash64. */
export function hashName(name: string): NameHash {
	const known = cachedHashes.get(name);
	if (known) {
		return known;
	}

	if (cachedHashes.size >= MAX_CACHED_HASHES) {
		cachedHashes.clear();
	}

	const hash = BigInt(`0x${xxhash.h64(name, 0).toString(16)}`);
	const nameHash = {high: Number(BigInt.asIntN(32, hash >> 32n)), low: Number(BigInt.asIntN(32, hash))};
	cachedHashes.set(name, nameHash);
	return nameHash;
}

/**
 * Returns the weight of a host for a group (rendezvous hashing), a 53-bit integer: the host with the highest weight ranks first.
 *
 * Every host computes the same weights, and a host that is added or removed changes no other's weight, so only its own groups move.
 * Two hashes are mixed instead of hashing both names together for each pair, so that a change of hosts needs no string operations.
 */
export function getWeight(group: NameHash, host: NameHash): number {
	const high = mix(group.high ^ host.high ^ mix(group.low ^ host.low));
	const low = mix(group.low ^ host.low ^ high);
	return ((high & 0x1F_FF_FF) * 0x1_00_00_00_00) + (low >>> 0);
}

/** Returns the weight of a host for a group as a number above 0 and below 1, for rankings that are weighted by a property of the host. */
export function getUnitWeight(group: NameHash, host: NameHash): number {
	return (getWeight(group, host) + 0.5) / (2 ** 53);
}

/** The finalizer of MurmurHash3: every bit of the input changes half of the output's. */
function mix(value: number): number {
	let mixed = value;
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return mixed ^ (mixed >>> 16);
}
