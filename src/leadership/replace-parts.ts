import type {EndpointDirectory} from '../links/endpoint-directory.js';
import type {Log} from '../log/log.js';
import type {MetadataStore} from '../mirror/metadata-store.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import type {DutyLease} from './duty-lease.js';
import type {GoneHosts} from './gone-hosts.js';
import type {LeadEvidences} from './lead-evidence.js';
import type {PrimaryWork} from './primary-work.js';
import type {PromotionOrders} from './promotion-orders.js';
import type {StoreReturns} from './store-returns.js';

/** What replacing a primary needs. */
export type ReplacePrimaryParts = {
	readonly store: MetadataStore;
	readonly mirror: StoreMirror;
	readonly directory: EndpointDirectory;
	readonly evidences: LeadEvidences;
	readonly primaryWork: PrimaryWork;
	readonly duty: DutyLease;
	readonly gone: GoneHosts;
	readonly returns: StoreReturns;
	readonly orders: PromotionOrders;
	readonly peers: Peers;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
	readonly hostName: string;
	readonly ownPeerAddress: string;
	/** Called after a replacement with the duration of each part. */
	onReplaced(group: string, parts: ReplacementTimes): void;
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
