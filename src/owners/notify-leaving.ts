import type {Configuration} from '../configuration/configuration.js';
import type {Hosts, Owning} from '../membership/hosts.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		/** The sender is stopping and hands its groups over. */
		'owner-leaving': {req: Record<string, never>; res: {readonly noted: boolean}};
	}
}

/** Options of {@link notifyLeaving}. */
export type NotifyLeavingOptions = {
	readonly clock: Clock;
	readonly configuration: Configuration;
	readonly hosts: Hosts;
	readonly owning: Owning;
	readonly peers: Peers;
	/** The groups that this host owns. */
	readonly groups: readonly string[];
};

/** How long to wait for a host's response, in milliseconds. */
const NOTIFY_TIMEOUT_MS = 300;

/**
 * Notifies the owners of this host's groups, and the hosts that become owners in its place, that it is stopping; never rejects.
 *
 * Without it the next owner would send requests back until the platform's list shows the change. All other hosts learn of
 * it from the first refusal, so a stop costs a few calls in a fleet of any size.
 */
export async function notifyLeaving({clock, configuration, hosts, owning, peers, groups}: NotifyLeavingOptions): Promise<void> {
	const now = clock.now();
	const addresses = new Set<string>();
	for (const group of groups) {
		const owners = configuration.getGroup(group)?.cfg.owners ?? 0;
		for (const {address} of owning.getOwners(group, owners * 2, now)) {
			addresses.add(address);
		}
	}

	addresses.delete(hosts.self.address);
	await Promise.allSettled([...addresses].map(async address => peers.call(address, 'owner-leaving', {}, NOTIFY_TIMEOUT_MS)));
}
