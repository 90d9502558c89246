import xxhash from 'xxhashjs';

/** The hash of a name, made once and mixed with many others; two signed integers of 32 bits. */
export type NameHash = {
	readonly high: number;
	readonly low: number;
};

/** Names whose hashes are remembered: hosts are ranked anew with each change of one of them. */
const REMEMBERED = 10_000;

const remembered = new Map<string, NameHash>();

/** Hashes a name with xxHash64. */
export function hashName(name: string): NameHash {
	const known = remembered.get(name);
	if (known) {
		return known;
	}

	if (remembered.size >= REMEMBERED) {
		remembered.clear();
	}

	const hash = BigInt(`0x${xxhash.h64(name, 0).toString(16)}`);
	const made = {high: Number(BigInt.asIntN(32, hash >> 32n)), low: Number(BigInt.asIntN(32, hash))};
	remembered.set(name, made);
	return made;
}

/**
 * The weight of a host for a group, an integer of 53 bits: the host with the highest weight ranks first.
 *
 * Every host computes the same, and a host that comes or goes changes no other's weight, so it moves only its own groups.
 * Two hashes are mixed in place of hashing both names together for each pair: a change of hosts costs no string work.
 */
export function getWeight(group: NameHash, host: NameHash): number {
	const high = mix(group.high ^ host.high ^ mix(group.low ^ host.low));
	const low = mix(group.low ^ host.low ^ high);
	return ((high & 0x1F_FF_FF) * 0x1_00_00_00_00) + (low >>> 0);
}

/** The finalizer of MurmurHash3: every bit of the input changes half of the output's. */
function mix(value: number): number {
	let mixed = value;
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return mixed ^ (mixed >>> 16);
}
