import type {EndpointRole, Row} from '../endpoints/endpoint.js';
import type {WorkClass} from '../groups/group-config.js';
import type {Outcome} from '../callers/caller-response.js';
import type {RequestKind} from '../callers/caller-request.js';
import type {Refusal} from '../refusals/refusal.js';
import type {LogPosition} from '../terms/log-position.js';

/** A read or write that an entry proxy sends to an owner of the group. */
export type OwnerRequest = {
	readonly group: string;
	readonly requestId: string;
	readonly kind: RequestKind;
	readonly statement: string;
	readonly values: readonly unknown[];
	/** Hash of statement and values. */
	readonly digest: string;
	/** Lowest log position at which a read may be served; where it is absent, the owner takes a barrier. */
	readonly floor?: LogPosition;
	/** Maximum age of the data that the read accepts, in milliseconds. */
	readonly maxAgeMs: number;
	readonly class: WorkClass;
	/** Time left until the deadline when the request was sent, in milliseconds; a duration, since clocks of hosts are never compared. */
	readonly remainingMs: number;
	/** Whether no other owner is left to try: a write then waits at this one for a connection to the primary, within the time left. */
	readonly isLastOwner?: boolean;
	/** Version of the group's configuration at the sender. */
	readonly configVersion: number;
};

/** An owner's response. A refusal with the outcome `not-run` is final for this try: it is proved that the try cannot run any more. */
export type OwnerResponse = {
	readonly outcome: Outcome;
	readonly rows?: readonly Row[];
	readonly servedBy?: string;
	readonly role?: EndpointRole;
	/** Log position of the server: for a write that of its own entry or later, for a read the least that the rows include. */
	readonly log?: LogPosition;
	readonly ageMs?: number;
	readonly refusal?: Refusal;
	/** Whether another owner may succeed: this host is no owner in its own view, or cannot reach the endpoint. */
	readonly tryNext?: boolean;
};

/** Runs requests for the groups that this host owns. */
export type Owners = {
	execute(req: OwnerRequest): Promise<OwnerResponse>;
	/** Resolves the outcome of a request key; writes a tombstone where the key does not exist. */
	resolve(req: ResolveRequest): Promise<OwnerResponse>;
};

/** Request to an owner for the outcome of a request. */
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
		execute: {req: OwnerRequest; res: OwnerResponse};
		resolve: {req: ResolveRequest; res: OwnerResponse};
	}
}
