import type {HostTree, TreeHost} from './host-tree.js';

/** Knows which hosts should have asked for news and did not. */
export type UnheardHosts = {
	/** Notes a question at the steady time `now`, with the hosts that the asking one has not heard in turn. */
	note(address: string, unheard: readonly string[], now: number): void;
	/** Steady time at which a host last asked; undefined where it never did. */
	getHeardAt(address: string): number | undefined;
	/**
	 * Addresses of hosts below `host` in the tree that were not heard for `quietMs`, as this host and those that ask it tell. One that was not heard stands for all below it
	 * as well, of which nobody tells: a host that is cut off from the others has to see that those are more than half.
	 */
	getUnheard(tree: HostTree, host: TreeHost, quietMs: number, now: number): readonly string[];
};

/** Creates the knowledge of a host that begins at the steady time `startedAt`. */
export function createUnheardHosts(startedAt: number): UnheardHosts {
	const heard = new Map<string, {readonly at: number; readonly unheard: readonly string[]}>();
	/** Since when a host is expected to ask this one. */
	const expectedSince = new Map<string, number>();

	/** A host that moves in the tree is given its time anew. */
	const expect = (children: readonly TreeHost[], now: number) => {
		const addresses = new Set(children.map(({peerAddress}) => peerAddress));
		for (const address of expectedSince.keys()) {
			if (!addresses.has(address)) {
				expectedSince.delete(address);
			}
		}

		for (const address of addresses) {
			expectedSince.set(address, expectedSince.get(address) ?? now);
		}
	};

	return {
		note(address, unheard, now) {
			heard.set(address, {at: now, unheard});
		},
		getHeardAt: address => heard.get(address)?.at,
		getUnheard(tree, host, quietMs, now) {
			const children = tree.getChildren(host);
			expect(children, now);
			const isQuiet = (address: string) => now - Math.max(startedAt, expectedSince.get(address) ?? now, heard.get(address)?.at ?? 0) > quietMs;
			const own = children.filter(({peerAddress}) => isQuiet(peerAddress)).flatMap(child => getWithBelow(tree, child));
			const told = [...heard.values()].filter(({at}) => now - at <= quietMs).flatMap(({unheard}) => unheard);
			return [...new Set([...own, ...told])];
		},
	};
}

function getWithBelow(tree: HostTree, host: TreeHost): readonly string[] {
	return [host.peerAddress, ...tree.getChildren(host).flatMap(child => getWithBelow(tree, child))];
}
