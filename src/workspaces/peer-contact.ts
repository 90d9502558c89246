import {isHostAlive} from '../membership/is-host-alive.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';

/** Tells whether other hosts hear this one. */
export type PeerContact = {
	/** Whether one of the hosts at `addresses` has answered of late; true where there are none. */
	check(addresses: readonly string[]): Promise<boolean>;
	/** Another host has just answered or asked. */
	noteHeard(): void;
};

/** A sign of life is good for so long, in milliseconds. */
const HEARD_FOR_MS = 1000;

/** A host that nobody answered is not tried again for so long, in milliseconds. */
const ALONE_FOR_MS = 250;

/** Longest wait for a sign of life, in milliseconds: some fifty times the way between zones. */
const ANSWER_WITHIN_MS = 100;

/** Hosts that are asked for one. */
const ASKED = 2;

/** Creates the check of a host that has heard nobody yet. */
export function createPeerContact(peers: Peers, clock: Clock): PeerContact {
	let heardUntil = Number.NEGATIVE_INFINITY;
	let aloneUntil = Number.NEGATIVE_INFINITY;
	let checking: Promise<boolean> | undefined;

	const noteHeard = () => {
		heardUntil = clock.now() + HEARD_FOR_MS;
		aloneUntil = Number.NEGATIVE_INFINITY;
	};

	const isHeardBy = async (address: string) => {
		const isHeard = await isHostAlive(peers, address, ANSWER_WITHIN_MS);
		if (isHeard) {
			noteHeard();
		}

		return isHeard;
	};

	const askAny = async (addresses: readonly string[]) => {
		const answers = await Promise.all(addresses.slice(0, ASKED).map(async address => isHeardBy(address)));
		const isHeard = answers.includes(true);
		aloneUntil = isHeard ? Number.NEGATIVE_INFINITY : clock.now() + ALONE_FOR_MS;
		return isHeard;
	};

	return {
		async check(addresses) {
			const now = clock.now();
			if (addresses.length === 0 || now < heardUntil) {
				return true;
			}

			if (now < aloneUntil) {
				return false;
			}

			checking ??= askAny(addresses).finally(() => {
				checking = undefined;
			});
			return checking;
		},
		noteHeard,
	};
}
