import type {Configuration} from '../configuration/configuration.js';
import type {Hosts, Owning} from '../membership/hosts.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		/** The sender is stopping and hands its groups on. */
		'owner-leaving': {req: Record<string, never>; res: {readonly noted: boolean}};
	}
}

/** What {@link tellLeaving} needs. */
export type TellLeavingOptions = {
	readonly clock: Clock;
	readonly configuration: Configuration;
	readonly hosts: Hosts;
	readonly owning: Owning;
	readonly peers: Peers;
	/** The groups that this host looks after. */
	readonly groups: readonly string[];
};

/** Time that a host has to note it, in milliseconds. */
const TELL_MS = 300;

/**
 * Tells the owners of this host's groups, and those who become owners in its place, that it is stopping; never rejects.
 *
 * Without it the next owner would send requests back until the platform's list shows the change. All other hosts learn
 * it from the first refusal, so that a stop costs a few calls on a fleet of any size.
 */
export async function tellLeaving({clock, configuration, hosts, owning, peers, groups}: TellLeavingOptions): Promise<void> {
	const now = clock.now();
	const told = new Set<string>();
	for (const group of groups) {
		const owners = configuration.getGroup(group)?.cfg.owners ?? 0;
		for (const {address} of owning.getOwners(group, owners * 2, now)) {
			told.add(address);
		}
	}

	told.delete(hosts.self.address);
	await Promise.allSettled([...told].map(async address => peers.call(address, 'owner-leaving', {}, TELL_MS)));
}
