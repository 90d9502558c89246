import type {HostTree, TreeHost} from './host-tree.js';

/** Tracks which hosts should have polled for store updates and did not. */
export type SilentHosts = {
	/** Records a request at the steady time `now`, with the hosts that the requesting one reports as silent in turn. */
	noteRequest(address: string, unheard: readonly string[], now: number): void;
	/** Returns the steady time at which a host last polled; undefined if it never did. */
	getLastPolledAt(address: string): number | undefined;
	/**
	 * Returns the addresses of hosts below `host` in the tree that have been silent for `silentAfterMs` milliseconds, as seen by this host and reported by those that poll it. A silent
	 * host counts with all hosts below it, since nobody reports those: a host that is cut off from the others has to detect that they are more than half.
	 */
	getSilent(tree: HostTree, host: TreeHost, silentAfterMs: number, now: number): readonly string[];
};

/** Creates the tracker of a host that started at the steady time `startedAt`. */
export function createSilentHosts(startedAt: number): SilentHosts {
	const lastRequests = new Map<string, {readonly at: number; readonly unheard: readonly string[]}>();
	/** Steady time since which a host is expected to poll this one, by address. */
	const expectedSince = new Map<string, number>();

	/** Updates the hosts that are expected to poll this one; the time of a host that moves in the tree starts again. */
	const updateExpected = (children: readonly TreeHost[], now: number) => {
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
		noteRequest(address, unheard, now) {
			lastRequests.set(address, {at: now, unheard});
		},
		getLastPolledAt: address => lastRequests.get(address)?.at,
		getSilent(tree, host, silentAfterMs, now) {
			const children = tree.getChildren(host);
			updateExpected(children, now);
			const isSilent = (address: string) => now - Math.max(startedAt, expectedSince.get(address) ?? now, lastRequests.get(address)?.at ?? 0) > silentAfterMs;
			const own = children.filter(({peerAddress}) => isSilent(peerAddress)).flatMap(child => getSubtree(tree, child));
			const reported = [...lastRequests.values()].filter(({at}) => now - at <= silentAfterMs).flatMap(({unheard}) => unheard);
			return [...new Set([...own, ...reported])];
		},
	};
}

function getSubtree(tree: HostTree, host: TreeHost): readonly string[] {
	return [host.peerAddress, ...tree.getChildren(host).flatMap(child => getSubtree(tree, child))];
}
