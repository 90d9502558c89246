import type {EndpointStatus} from '../endpoints/endpoint.js';
import type {Hosts, Owning} from '../membership/hosts.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {PlatformHost} from '../object-store/platform.js';
import type {Clock} from '../time/clock.js';
import {throwSwitchRefused} from './failover-errors.js';
import type {FailoverSettings} from './failover-settings.js';

/** This host's place among the group's owners, and what it asks of the others. */
export type OtherOwners = {
	/** This host's rank, 0 first; behind all owners where it is none. */
	getRank(): number;
	/** Holds the group's writes at every other owner that can be reached; rejects with FailoverError where one does not. */
	hold(holdId: string, ms: number): Promise<void>;
	/** Ends a hold everywhere; never rejects. */
	release(holdId: string): Promise<void>;
	/** Tells of a new primary; never rejects. */
	tellPrimary(endpoint: string, status: EndpointStatus): Promise<void>;
};

/** What {@link createOtherOwners} needs. */
export type OtherOwnersOptions = {
	readonly clock: Clock;
	readonly peers: Peers;
	readonly hosts: Hosts;
	readonly owning: Owning;
	readonly settings: FailoverSettings;
	readonly group: string;
	/** How many hosts look after the group. */
	getOwnerCount(): number;
};

/** Creates the view of the other owners of one group. */
export function createOtherOwners(options: OtherOwnersOptions): OtherOwners {
	const {clock, peers, hosts, owning, settings, group} = options;

	const getOwners = () => owning.getOwners(group, options.getOwnerCount(), clock.now());
	const getOthers = () => getOwners().filter(({name}) => name !== hosts.self.name);

	const holdAt = async (host: PlatformHost, holdId: string, ms: number) => {
		try {
			const {held} = await peers.call(host.address, 'hold-writes', {group, holdId, ms}, ms + settings.peerSlackMs);
			return held;
		} catch (err) {
			// An owner that cannot be reached is most likely gone; a write it might still send is refused by its term.
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
		async tellPrimary(endpoint, status) {
			await Promise.allSettled(getOthers().map(async host => peers.call(host.address, 'tell-primary', {group, endpoint, status}, settings.peerSlackMs)));
		},
	};
}
