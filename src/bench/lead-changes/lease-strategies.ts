import type {MetadataStore} from '../../mirror/metadata-store.js';
import {throwPeerUnreachable} from '../../peers/peer-errors.js';
import type {LivePeers} from '../../peers/create-peers.js';
import type {SimulatedProxiesOptions, SimulatedProxy} from '../../stand-ins/proxies/simulated-proxies.js';
import type {VirtualClock} from '../../stand-ins/time/virtual-clock.js';

/** A way in which hosts obtain primary leases. */
export type LeaseStrategy = {
	readonly name: string;
	readonly wrapStore?: SimulatedProxiesOptions['wrapStore'];
	readonly wrapPeers?: SimulatedProxiesOptions['wrapPeers'];
	/** Runs beside the proxies for the whole experiment. */
	run?(proxies: readonly SimulatedProxy[], clock: VirtualClock): Promise<void>;
};

/** Interval at which the failover coordinator renews the failover lease, in milliseconds: three attempts within the lease. */
const RENEWAL_INTERVAL_MS = 1000;

/** Interval at which the failover coordinator reads the store, in milliseconds: configurations must take effect within 6 s. */
const COORDINATOR_READ_INTERVAL_MS = 2000;

/** The product's strategy: the first host by name reads the store, and the others poll it. */
export const ONE_HOST_READS: LeaseStrategy = {name: 'one host reads for all'};

/** Every host reads the store itself: its polls of other hosts fail, apart from urgent ones. */
export const EVERY_HOST_READS: LeaseStrategy = {
	name: 'every host reads',
	wrapPeers: (peers): LivePeers => ({
		...peers,
		async call(address, kind, req, timeoutMs) {
			if (kind === 'mirror-confirm' && !(req as {readonly urgent: boolean}).urgent) {
				throwPeerUnreachable(address, new Error('it does not read for others'));
			}

			return peers.call(address, kind, req, timeoutMs);
		},
	}),
};

/**
 * The host that others poll holds the failover lease at all times, and confirms their copies because of that lease alone: while it
 * holds the lease, no other host can be replacing a primary. It reads the store only at an interval. The product does not do this.
 */
export const COORDINATOR_GRANTS: LeaseStrategy = {
	name: 'the holder of the duty grants',
	wrapStore(store, proxy): MetadataStore {
		let lastRead: {readonly revision: number; readonly at: number} | undefined;
		return {
			...store,
			async getRevision(timeoutMs) {
				const now = proxy.clock.elapsed();
				const isCoordinator = proxy.kernel.getOrThrow('failoverLease').getToken(0) !== undefined;
				if (isCoordinator && lastRead && now - lastRead.at < COORDINATOR_READ_INTERVAL_MS) {
					return lastRead.revision;
				}

				lastRead = {revision: await store.getRevision(timeoutMs), at: now};
				return lastRead.revision;
			},
			async putRecord(kind, record, timeoutMs) {
				lastRead = undefined;
				return store.putRecord(kind, record, timeoutMs);
			},
		};
	},
	async run(proxies, clock) {
		for (;;) {
			for (const {kernel, killed} of proxies) {
				if (!killed && kernel.getOrThrow('storeMirror').readsForAll) {
					void kernel.getOrThrow('failoverLease').take();
				}
			}

			await clock.sleep(RENEWAL_INTERVAL_MS);
		}
	},
};

/** All strategies, the product's first. */
export const LEASE_STRATEGIES: readonly LeaseStrategy[] = [ONE_HOST_READS, EVERY_HOST_READS, COORDINATOR_GRANTS];
