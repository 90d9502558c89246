import type {HostRecord} from '../leadership/leadership-record.js';
import type {Log} from '../log/log.js';
import {hashName} from '../membership/rendezvous.js';
import type {HostTree, HostTreeLayout, TreeHost} from './host-tree.js';
import type {MirrorCopy} from './mirror-copy.js';
import {formatQualified} from './store-generation.js';

/** Chooses the host that this one polls for store updates. */
export type ChangeFeedSource = {
	/** Returns the address of the host to poll at the steady time `now`; undefined if this host reads the store itself. */
	getParent(now: number): string | undefined;
	/** Excludes a host that did not respond from the choice for a while. */
	avoid(address: string, now: number): void;
	/** Does the same to a host that responds, but whose copy was confirmed long before this host's. */
	noteBehind(address: string, now: number): void;
	/** Whether a host is excluded from the choice at the steady time `now`. */
	isAvoiding(now: number): boolean;
	/** Whether this host has just excluded a host, so that it has to find out soon whether the next one responds; always false for the layout by names. */
	isRecovering(now: number): boolean;
	/** Has this host read the store itself for a while, since the host that it polled may not let it wait. */
	noteDeclined(address: string, now: number): void;
	/** Whether this host reads the store only since another has declined its request, while it is not the first in its own copy's tree. */
	isDeclined(now: number): boolean;
	/** Returns the tree of all hosts that are not marked as unresponsive. */
	getTree(): HostTree;
	/** Returns the addresses of all other hosts that are not marked as unresponsive, or of the other seeds if no host is known. */
	getOthers(): readonly string[];
};

/** Time for which a host that did not respond, or was behind, is excluded, in milliseconds; the tree without it determines the host to poll. */
const AVOID_MS = 5000;

/** Time for which a host reads the store itself after a declined request, in milliseconds: two reads, after which its copy of the host records is the latest. */
const DECLINED_MS = 1000;

/** Number of hosts of another region that have to be excluded until the whole region is: its hosts are usually lost together, and each costs a timeout. */
const MAX_AVOIDED_IN_REGION = 2;

/** Time after an exclusion for which a host is recovering, in milliseconds: two hosts that lead in different regions may be lost at once. */
const RECOVERING_MS = 1000;

/** Creates the choice for `host`. */
export function createChangeFeedSource(copy: MirrorCopy, host: HostRecord, seeds: readonly string[], log: Log, layout: HostTreeLayout): ChangeFeedSource {
	/** End of each exclusion in steady time, by address. */
	const avoidedUntil = new Map<string, number>();
	let lastAvoidedAt = Number.NEGATIVE_INFINITY;
	let declinedUntil = Number.NEGATIVE_INFINITY;
	let polled: string | undefined;
	let known: {readonly hosts: readonly HostRecord[]; readonly responsive: readonly HostRecord[]; readonly tree: HostTree} | undefined;

	/** The tree without the excluded hosts; undefined until it is needed, and again after a change of hosts or exclusions. */
	let treeWithoutAvoided: HostTree | undefined;

	const getKnown = () => {
		const {hosts} = copy.state;
		if (known?.hosts !== hosts) {
			const responsive = hosts.filter(({gone}) => !gone);
			known = {hosts, responsive, tree: layout.createTree(responsive)};
			treeWithoutAvoided = undefined;
		}

		return known;
	};

	const isAvoided = (address: string, now: number) => now < (avoidedUntil.get(address) ?? 0);

	const removeExpired = (now: number) => {
		for (const [address, until] of avoidedUntil) {
			if (now >= until) {
				avoidedUntil.delete(address);
				treeWithoutAvoided = undefined;
			}
		}
	};

	const getTreeWithoutAvoided = (now: number) => {
		removeExpired(now);
		const {responsive, tree} = getKnown();
		if (avoidedUntil.size === 0) {
			return tree;
		}

		treeWithoutAvoided ??= layout.createTree(getUsable(responsive, now));
		return treeWithoutAvoided;
	};

	const getUsable = (responsive: readonly HostRecord[], now: number) => {
		const avoided = responsive.filter(({peerAddress}) => isAvoided(peerAddress, now));
		const isLost = ({availabilityZone}: TreeHost) => !layout.isSameRegion(availabilityZone, host.availabilityZone)
			&& avoided.filter(other => layout.isSameRegion(other.availabilityZone, availabilityZone)).length >= MAX_AVOIDED_IN_REGION;
		return responsive.filter(other => !avoided.includes(other) && !(avoided.length >= MAX_AVOIDED_IN_REGION && isLost(other)));
	};

	/** Logs a change of the host that is polled, where the layout is by regions and the choice is not obvious from the names. */
	const notePolled = (parent: TreeHost | undefined) => {
		const next = parent?.peerAddress;
		if (layout.sendsPlace && polled !== (next ?? '')) {
			polled = next ?? '';
			log.info('store updates have another source', {peer: next ?? 'the store', zone: parent?.availabilityZone});
		}

		return next;
	};

	const exclude = (address: string, now: number) => {
		avoidedUntil.set(address, now + AVOID_MS);
		lastAvoidedAt = now;
		treeWithoutAvoided = undefined;
	};

	/** Returns the seed to poll while no host is known. Hosts are spread over the seeds; a seed polls only those before it in the list, so that seeds do not wait for each other in a cycle. */
	const getSeed = (now: number) => {
		const own = seeds.indexOf(host.peerAddress);
		const usable = seeds.slice(0, own === -1 ? seeds.length : own).filter(address => !isAvoided(address, now));
		return usable.length === 0 ? undefined : usable[Math.abs(hashName(host.name).low) % usable.length];
	};

	return {
		getParent(now) {
			if (getKnown().responsive.length === 0) {
				return getSeed(now);
			}

			return now < declinedUntil ? undefined : notePolled(getTreeWithoutAvoided(now).getParent(host));
		},
		isAvoiding: now => [...avoidedUntil.values()].some(until => now < until),
		isRecovering: now => layout.sendsPlace && now < lastAvoidedAt + RECOVERING_MS,
		noteDeclined(address, now) {
			log.info('the host that is polled for store updates has declined; the store is read', {peer: address, revision: formatQualified(copy.state.revision)});
			declinedUntil = now + DECLINED_MS;
		},
		isDeclined: now => now < declinedUntil,
		avoid(address, now) {
			log.info('the host that is polled for store updates does not respond', {peer: address, revision: formatQualified(copy.state.revision)});
			exclude(address, now);
		},
		noteBehind(address, now) {
			log.info('the host that is polled for store updates is behind this one', {peer: address, revision: formatQualified(copy.state.revision)});
			exclude(address, now);
		},
		getTree: () => getKnown().tree,
		getOthers() {
			const {responsive} = getKnown();
			const addresses = responsive.length > 0 ? responsive.map(({peerAddress}) => peerAddress) : seeds;
			return addresses.filter(address => address !== host.peerAddress);
		},
	};
}
