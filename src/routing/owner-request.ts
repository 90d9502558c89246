import type {EndpointRole, Row} from '../endpoints/endpoint.js';
import type {WorkClass} from '../groups/group-config.js';
import type {Outcome} from '../callers/caller-answer.js';
import type {RequestKind} from '../callers/caller-request.js';
import type {Refusal} from '../refusals/refusal.js';
import type {LogPosition} from '../terms/log-position.js';

/** What an entry proxy asks of an owner of the group. */
export type OwnerRequest = {
	readonly group: string;
	readonly requestId: string;
	readonly kind: RequestKind;
	readonly statement: string;
	readonly values: readonly unknown[];
	/** Hash of statement and values. */
	readonly digest: string;
	/** Lowest position a read may be served at; absent: the owner takes a barrier. */
	readonly floor?: LogPosition;
	/** Oldest data the read accepts, in milliseconds. */
	readonly maxAgeMs: number;
	readonly class: WorkClass;
	/** Time left when it was sent, in milliseconds; clocks of hosts are never compared. */
	readonly remainingMs: number;
	/** No other owner is left to ask: a write waits here for a connection to the primary, within the time left. */
	readonly isLastOwner?: boolean;
	/** Version of the group's configuration at the sender. */
	readonly configVersion: number;
};

/** An owner's answer. A refusal with outcome `not-run` is final for this try: it is proved that this try cannot run any more. */
export type OwnerAnswer = {
	readonly outcome: Outcome;
	readonly rows?: readonly Row[];
	readonly servedBy?: string;
	readonly role?: EndpointRole;
	/** Where the server's log stood: for a write its own entry or later, for a read what the rows hold at least. */
	readonly log?: LogPosition;
	readonly ageMs?: number;
	readonly refusal?: Refusal;
	/** Another owner may do better: this host is no owner in its own view, or has no way to the endpoint. */
	readonly tryNext?: boolean;
};

/** Looks after one or more groups on this host. */
export type Owners = {
	execute(req: OwnerRequest): Promise<OwnerAnswer>;
	/** Settles what stands under a request key, with a tombstone where nothing does. */
	resolve(req: ResolveRequest): Promise<OwnerAnswer>;
};

/** Asks an owner what became of a request. */
export type ResolveRequest = {
	readonly group: string;
	readonly requestId: string;
	readonly remainingMs: number;
	/** As in {@link OwnerRequest}. */
	readonly isLastOwner?: boolean;
	readonly configVersion: number;
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		execute: {req: OwnerRequest; res: OwnerAnswer};
		resolve: {req: ResolveRequest; res: OwnerAnswer};
	}
}
