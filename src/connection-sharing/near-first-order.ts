import type {HostRecord} from '../leadership/leadership-record.js';
import {getWeight, hashName, type NameHash} from '../membership/rendezvous.js';
import type {UnreachableHosts} from '../membership/unreachable-hosts.js';
import type {PoolHostOrder} from './pool-host-order.js';

/** What the order takes into account. */
export type NearFirstOrderOptions = {
	readonly ownPeerAddress: string;
	readonly ownZone: string;
	readonly unreachable: UnreachableHosts;
};

/**
 * The pool hosts of this host's zone, then one of another zone, in case all in the zone are cut off from the endpoint. The order rotates (round robin); for a workspace it is the
 * workspace's own order, so that its statements reach the hosts which have connections for it.
 */
export class NearFirstOrder implements PoolHostOrder {
	readonly #options: NearFirstOrderOptions;
	#rotation = 0;

	constructor(options: NearFirstOrderOptions) {
		this.#options = options;
	}

	getAddresses(hosts: readonly HostRecord[], workspace: string | undefined, now: number): readonly string[] {
		const {ownPeerAddress, ownZone, unreachable} = this.#options;
		const near: string[] = [];
		const far: string[] = [];
		for (const {peerAddress, availabilityZone} of hosts) {
			if (peerAddress !== ownPeerAddress && !unreachable.has(peerAddress, now)) {
				(availabilityZone === ownZone ? near : far).push(peerAddress);
			}
		}

		if (workspace !== undefined) {
			const hash = hashName(workspace);
			return [...rank(near, hash), ...rank(far, hash).slice(0, 1)];
		}

		this.#rotation++;
		return [...rotate(near, this.#rotation), ...rotate(far, this.#rotation).slice(0, 1)];
	}
}

function rank(addresses: readonly string[], workspace: NameHash): readonly string[] {
	return addresses
		.map(address => ({address, weight: getWeight(workspace, hashName(address))}))
		.toSorted((left, right) => right.weight - left.weight)
		.map(({address}) => address);
}

function rotate<T>(list: readonly T[], by: number): readonly T[] {
	const at = list.length === 0 ? 0 : by % list.length;
	return [...list.slice(at), ...list.slice(0, at)];
}
