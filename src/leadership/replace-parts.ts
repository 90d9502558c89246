import type {EndpointDirectory} from '../links/endpoint-directory.js';
import type {Log} from '../log/log.js';
import type {MetadataStore} from '../mirror/metadata-store.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import type {CommitReport} from './acknowledged-commits.js';
import type {FailoverLease} from './failover-lease.js';
import type {SuccessorDistance} from './successor-distance.js';
import type {UnresponsiveHosts} from './unresponsive-hosts.js';
import type {PrimaryLeases} from './primary-leases.js';
import type {PrimaryWork} from './primary-work.js';
import type {PromotionOrders} from './promotion-orders.js';
import type {StoreRestores} from './store-restores.js';

/** What replacing a primary needs. */
export type ReplacePrimaryParts = {
	readonly store: MetadataStore;
	readonly mirror: StoreMirror;
	readonly directory: EndpointDirectory;
	readonly primaryLeases: PrimaryLeases;
	readonly primaryWork: PrimaryWork;
	readonly failoverLease: FailoverLease;
	readonly unresponsiveHosts: UnresponsiveHosts;
	readonly storeRestores: StoreRestores;
	readonly orders: PromotionOrders;
	readonly peers: Peers;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
	readonly hostName: string;
	readonly ownPeerAddress: string;
	/** Distance of endpoints from a group's callers; undefined where it does not count. */
	readonly getSuccessorDistance?: SuccessorDistance;
	/** Availability zone of this host. */
	readonly availabilityZone: string;
	/** Reports the commits of a group that this host has acknowledged, after it has given up its lease; undefined if it cannot tell. */
	reportCommits?(group: string): CommitReport | undefined;
	/** Called after a replacement with the duration of each part. */
	onReplaced(group: string, times: ReplacementTimes): void;
	/** Called with the ids of the endpoints whose response a change of primary waits for; with none once it waits for none. */
	onAwaited?(group: string, endpointIds: readonly string[]): void;
};

/** Durations of the parts of a replacement, in milliseconds. */
export type ReplacementTimes = {
	readonly markMs: number;
	readonly revokeMs: number;
	readonly chooseMs: number;
	readonly promoteMs: number;
	readonly settleMs: number;
};

/** Pause before a request that was refused or got no response is repeated, in milliseconds. */
export const RETRY_MS = 100;
