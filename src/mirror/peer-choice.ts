/**
 * Most hosts that confirm each other's copies by unanimity. Each asks each: 16 make 240 calls in 700 ms of an outage, 68 would make 4,500 and 900
 * would make 810,000, and one dead host spoils it. Larger fleets go by what endpoints show of fences.
 */
const MOST_UNANIMOUS_HOSTS = 16;

/** Peers that a host of a larger fleet asks at a time whether they reach the store. */
const SOME_PEERS = 3;

/** Creates the choice of the peers that one host asks to confirm its copy: all where they are few enough to be unanimous, else some, by turns. */
export function createPeerChoice(ownPeerAddress: string): (others: readonly string[]) => readonly string[] {
	// Hosts begin with different peers.
	let turn = [...ownPeerAddress].reduce((sum, letter) => sum + letter.codePointAt(0)!, 0);

	return others => {
		if (others.length < MOST_UNANIMOUS_HOSTS) {
			return others;
		}

		turn++;
		return Array.from({length: SOME_PEERS}, (_, i) => others[((turn * SOME_PEERS) + i) % others.length]!);
	};
}
