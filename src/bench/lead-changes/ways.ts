import type {MetadataStore} from '../../mirror/metadata-store.js';
import {throwPeerUnreachable} from '../../peers/peer-errors.js';
import type {LivePeers} from '../../peers/create-peers.js';
import type {SimulatedProxiesOptions, SimulatedProxy} from '../../stand-ins/proxies/simulated-proxies.js';
import type {VirtualClock} from '../../stand-ins/time/virtual-clock.js';

/** A way in which hosts come by the evidence that a primary leads. */
export type EvidenceWay = {
	readonly name: string;
	readonly wrapStore?: SimulatedProxiesOptions['wrapStore'];
	readonly wrapPeers?: SimulatedProxiesOptions['wrapPeers'];
	/** What goes on beside the proxies. */
	run?(proxies: readonly SimulatedProxy[], clock: VirtualClock): Promise<void>;
};

/** How often the holder of the duty renews it, in milliseconds: three tries within the lease. */
const RENEW_MS = 1000;

/** A holder reads the store itself so often, in milliseconds, for configurations must be in force within 6 s. */
const OWN_READ_MS = 2000;

/** The product: the first host by name reads the store, and the others ask it. */
export const ONE_READS: EvidenceWay = {name: 'one host reads for all'};

/** Nobody reads for others. */
export const EACH_READS: EvidenceWay = {
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
 * The host that others ask holds the duty at all times, and answers by that alone: nobody else can be changing a primary. Nothing
 * of this is in the product.
 */
export const HOLDER_GRANTS: EvidenceWay = {
	name: 'the holder of the duty grants',
	wrapStore(store, proxy): MetadataStore {
		let known: {readonly revision: number; readonly at: number} | undefined;
		return {
			...store,
			async getRevision(timeoutMs) {
				const now = proxy.clock.elapsed();
				const holds = proxy.kernel.getOrThrow('failoverLease').getToken(0) !== undefined;
				if (holds && known && now - known.at < OWN_READ_MS) {
					return known.revision;
				}

				known = {revision: await store.getRevision(timeoutMs), at: now};
				return known.revision;
			},
			async putRecord(kind, record, timeoutMs) {
				known = undefined;
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

			await clock.sleep(RENEW_MS);
		}
	},
};

/** All ways, the product's first. */
export const WAYS: readonly EvidenceWay[] = [ONE_READS, EACH_READS, HOLDER_GRANTS];
