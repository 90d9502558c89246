import type {HostRecord} from '../leadership/leadership-record.js';
import type {Log} from '../log/log.js';
import {hashName} from '../membership/rendezvous.js';
import {createHostTree, type HostTree} from './host-tree.js';
import type {MirrorCopy} from './mirror-copy.js';
import {formatPlaced} from './store-generation.js';

/** Knows which host this one asks for news of the store. */
export type NewsSource = {
	/** Address of the host to ask at the steady time `now`; undefined where this host reads the store itself. */
	getParent(now: number): string | undefined;
	/** Asks another than this one for a while, as it did not answer. */
	avoid(address: string, now: number): void;
	/** The tree of all hosts that live. */
	getTree(): HostTree;
	/** Addresses of all other hosts that live, or of the seeds where none is known. */
	getOthers(): readonly string[];
};

/** A host that did not answer is left alone for so long, in milliseconds; the next one in the tree is asked. */
const AVOID_MS = 5000;

/** Creates the choice. */
export function createNewsSource(copy: MirrorCopy, host: HostRecord, seeds: readonly string[], log: Log): NewsSource {
	/** By address, in steady time. */
	const avoidedUntil = new Map<string, number>();
	let known: {readonly hosts: readonly HostRecord[]; readonly living: readonly HostRecord[]; readonly tree: HostTree} | undefined;

	/** The tree without the hosts that are avoided; undefined where none is, or that has changed. */
	let treeWithoutAvoided: HostTree | undefined;

	const getKnown = () => {
		const {hosts} = copy.state;
		if (known?.hosts !== hosts) {
			const living = hosts.filter(({gone}) => !gone);
			known = {hosts, living, tree: createHostTree(living)};
			treeWithoutAvoided = undefined;
		}

		return known;
	};

	const isAvoided = (address: string, now: number) => now < (avoidedUntil.get(address) ?? 0);

	const forgetOld = (now: number) => {
		for (const [address, until] of avoidedUntil) {
			if (now >= until) {
				avoidedUntil.delete(address);
				treeWithoutAvoided = undefined;
			}
		}
	};

	const getTreeWithoutAvoided = (now: number) => {
		forgetOld(now);
		const {living, tree} = getKnown();
		if (avoidedUntil.size === 0) {
			return tree;
		}

		treeWithoutAvoided ??= createHostTree(living.filter(({peerAddress}) => !isAvoided(peerAddress, now)));
		return treeWithoutAvoided;
	};

	/** Before any host is known, hosts are spread over the seeds; a seed asks those before it, so that none waits for another in a circle. */
	const getSeed = (now: number) => {
		const own = seeds.indexOf(host.peerAddress);
		const usable = seeds.slice(0, own === -1 ? seeds.length : own).filter(address => !isAvoided(address, now));
		return usable.length === 0 ? undefined : usable[Math.abs(hashName(host.name).low) % usable.length];
	};

	return {
		getParent: now => getKnown().living.length === 0 ? getSeed(now) : getTreeWithoutAvoided(now).getParent(host)?.peerAddress,
		avoid(address, now) {
			log.info('the host that is asked for news of the store does not answer', {peer: address, revision: formatPlaced(copy.state.revision)});
			avoidedUntil.set(address, now + AVOID_MS);
			treeWithoutAvoided = undefined;
		},
		getTree: () => getKnown().tree,
		getOthers() {
			const {living} = getKnown();
			const addresses = living.length > 0 ? living.map(({peerAddress}) => peerAddress) : seeds;
			return addresses.filter(address => address !== host.peerAddress);
		},
	};
}
