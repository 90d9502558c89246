import type {HostRecord} from '../leadership/leadership-record.js';
import type {EndpointLoad} from '../links/endpoint-load.js';
import {getUnitWeight, hashName} from '../membership/rendezvous.js';
import type {UnreachableHosts} from '../membership/unreachable-hosts.js';
import type {Random} from '../random/random.js';
import type {LoadReports} from '../endpoint-load/load-reports.js';
import type {HostWatch} from './host-watch.js';
import type {PoolHostOrder} from './pool-host-order.js';

/** What the order takes into account. */
export type LeastLoadOrderOptions = {
	readonly endpointId: string;
	readonly ownPeerAddress: string;
	readonly unreachable: UnreachableHosts;
	readonly hostWatch: Pick<HostWatch, 'isSilent'>;
	readonly loads: LoadReports;
	readonly random: Random;
	/** Returns the load of this host's own pool, for the case that this host is one of the pool hosts. */
	getOwnLoad(now: number): EndpointLoad;
};

/** Age from which a load says nothing any more, in milliseconds: by then most of the statements that it counted have ended. */
const MAX_LOAD_AGE_MS = 1000;

/** Maximum number of workspaces whose order is cached for one endpoint. */
const MAX_CACHED_WORKSPACES = 2000;

/**
 * For a workspace, its own order over all pool hosts (rendezvous hashing weighted by capacity): its connections are found at the first. Without a workspace, the less loaded of two that
 * are picked at random, then the other one, then the rest; a pool host prefers itself while it has a free place. This host is included where it is a pool host.
 */
export class LeastLoadOrder implements PoolHostOrder {
	readonly #options: LeastLoadOrderOptions;
	#hosts: readonly HostRecord[] = [];
	#addresses: readonly string[] = [];
	#byWorkspace = new Map<string, readonly string[]>();

	constructor(options: LeastLoadOrderOptions) {
		this.#options = options;
	}

	getAddresses(hosts: readonly HostRecord[], workspace: string | undefined, now: number): readonly string[] {
		if (hosts !== this.#hosts) {
			this.#hosts = hosts;
			this.#addresses = hosts.map(({peerAddress}) => peerAddress);
			this.#byWorkspace = new Map();
		}

		const {unreachable, hostWatch} = this.#options;
		const isFailed = (address: string) => unreachable.has(address, now) || hostWatch.isSilent(address);
		const all = workspace === undefined ? this.#addresses : this.#getWorkspaceOrder(workspace);
		const usable = all.some(address => isFailed(address)) ? all.filter(address => !isFailed(address)) : all;
		return workspace === undefined && usable.length > 1 ? this.#orderByLoad(usable, now) : usable;
	}

	#getWorkspaceOrder(workspace: string): readonly string[] {
		const known = this.#byWorkspace.get(workspace);
		if (known) {
			return known;
		}

		if (this.#byWorkspace.size >= MAX_CACHED_WORKSPACES) {
			this.#byWorkspace.clear();
		}

		const hash = hashName(workspace);
		const ranked = this.#hosts
			.map(({name, peerAddress, capacity = 1}) => ({peerAddress, score: capacity / -Math.log(getUnitWeight(hash, hashName(name)))}))
			.toSorted((left, right) => right.score - left.score)
			.map(({peerAddress}) => peerAddress);
		this.#byWorkspace.set(workspace, ranked);
		return ranked;
	}

	#orderByLoad(addresses: readonly string[], now: number): readonly string[] {
		const {ownPeerAddress, random, getOwnLoad} = this.#options;
		if (addresses.includes(ownPeerAddress)) {
			const {inFlight, queued, limit} = getOwnLoad(now);
			if (queued === 0 && inFlight < limit) {
				return moveToFront(addresses, ownPeerAddress);
			}
		}

		const first = Math.floor(random.fraction() * addresses.length);
		const second = (first + 1 + Math.floor(random.fraction() * (addresses.length - 1))) % addresses.length;
		const [better, other] = this.#isLessLoaded(addresses[second]!, addresses[first]!, now) ? [second, first] : [first, second];
		return [addresses[better]!, addresses[other]!, ...addresses.filter((_, i) => i !== first && i !== second)];
	}

	#isLessLoaded(left: string, right: string, now: number): boolean {
		const leftLoad = this.#getLoad(left, now);
		const rightLoad = this.#getLoad(right, now);
		return (leftLoad?.waitMs ?? 0) - (rightLoad?.waitMs ?? 0) < 0
			|| ((leftLoad?.waitMs ?? 0) === (rightLoad?.waitMs ?? 0) && getOccupancy(leftLoad) < getOccupancy(rightLoad));
	}

	#getLoad(address: string, now: number): EndpointLoad | undefined {
		const {endpointId, ownPeerAddress, loads, getOwnLoad} = this.#options;
		if (address === ownPeerAddress) {
			return getOwnLoad(now);
		}

		const received = loads.list(endpointId).find(({poolHost}) => poolHost === address);
		return received && now - received.receivedAt < MAX_LOAD_AGE_MS ? received.load : undefined;
	}
}

/** Returns how full a pool host is, as a multiple of its limit; a pool host of which nothing is known counts as empty, so that its load becomes known. */
function getOccupancy(load: EndpointLoad | undefined): number {
	return load ? (load.inFlight + load.queued) / (Number.isFinite(load.limit) ? load.limit : 1) : 0;
}

function moveToFront(addresses: readonly string[], first: string): readonly string[] {
	return addresses[0] === first ? addresses : [first, ...addresses.filter(address => address !== first)];
}
