import type {EndpointStatus} from '../endpoints/endpoint.js';
import type {Hosts, Owning} from '../membership/hosts.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {PlatformHost} from '../object-store/platform.js';
import type {Clock} from '../time/clock.js';
import {throwSwitchRefused} from './failover-errors.js';
import type {FailoverSettings} from './failover-settings.js';

/** This host's rank among the group's owners, and its requests to the others. */
export type OtherOwners = {
	/** Returns this host's rank, from 0; a host that is not an owner ranks after all owners. */
	getRank(): number;
	/** Holds the group's writes at every other owner that can be reached; rejects with FailoverError where one of them cannot hold them. */
	hold(holdId: string, ms: number): Promise<void>;
	/** Ends a hold at every other owner; never rejects. */
	release(holdId: string): Promise<void>;
	/** Notifies the other owners of a new primary; never rejects. */
	notifyPrimary(endpoint: string, status: EndpointStatus): Promise<void>;
};

/** Options of {@link createOtherOwners}. */
export type OtherOwnersOptions = {
	readonly clock: Clock;
	readonly peers: Peers;
	readonly hosts: Hosts;
	readonly owning: Owning;
	readonly settings: FailoverSettings;
	readonly group: string;
	/** Returns how many hosts own the group. */
	getOwnerCount(): number;
};

/** Creates the requests to the other owners of one group. */
export function createOtherOwners(options: OtherOwnersOptions): OtherOwners {
	const {clock, peers, hosts, owning, settings, group} = options;

	const getOwners = () => owning.getOwners(group, options.getOwnerCount(), clock.now());
	const getOthers = () => getOwners().filter(({name}) => name !== hosts.self.name);

	const holdAt = async (host: PlatformHost, holdId: string, ms: number) => {
		try {
			const {held} = await peers.call(host.address, 'hold-writes', {group, holdId, ms}, ms + settings.peerSlackMs);
			return held;
		} catch (err) {
			// An owner that cannot be reached is most likely down; a write that it might still send is refused because of its term.
			return isPeerError(err) && !err.sent;
		}
	};

	return {
		getRank() {
			const owners = getOwners();
			const rank = owners.findIndex(({name}) => name === hosts.self.name);
			return rank === -1 ? owners.length : rank;
		},
		async hold(holdId, ms) {
			await Promise.all(getOthers().map(async host => {
				if (!await holdAt(host, holdId, ms)) {
					throwSwitchRefused(`writes in flight at ${host.name} did not end within ${ms} ms`);
				}
			}));
		},
		async release(holdId) {
			await Promise.allSettled(getOthers().map(async host => peers.call(host.address, 'release-writes', {group, holdId}, settings.peerSlackMs)));
		},
		async notifyPrimary(endpoint, status) {
			await Promise.allSettled(getOthers().map(async host => peers.call(host.address, 'tell-primary', {group, endpoint, status}, settings.peerSlackMs)));
		},
	};
}
