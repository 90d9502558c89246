/**
 * Maximum number of hosts that confirm each other's copies by unanimity. Each calls every other: 16 hosts make 240 calls in 700 ms of an outage, 68 would make 4,500 and 900
 * would make 810,000, and one dead host prevents unanimity. Larger fleets rely on whether their endpoints show fences instead.
 */
export const MAX_UNANIMOUS_HOSTS = 16;

/** Number of peers that a host of a larger fleet asks per round whether they reach the store. */
const PEERS_PER_ROUND = 3;

/** Creates the choice of the peers that a host asks to confirm its copy: all if they are few enough for unanimity, otherwise some, in rotation. */
export function createPeerChoice(ownPeerAddress: string): (others: readonly string[]) => readonly string[] {
	// Hosts start the rotation at different peers.
	let round = [...ownPeerAddress].reduce((sum, letter) => sum + letter.codePointAt(0)!, 0);

	return others => {
		if (others.length < MAX_UNANIMOUS_HOSTS) {
			return others;
		}

		round++;
		return Array.from({length: PEERS_PER_ROUND}, (_, i) => others[((round * PEERS_PER_ROUND) + i) % others.length]!);
	};
}
