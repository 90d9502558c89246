import type {WorkClass} from '../groups/group-config.js';
import type {OwnerResponse} from '../routing/owner-request.js';

/** Opens a transaction at an owner. */
export type BeginCall = {
	readonly group: string;
	/** Idempotency key of the whole transaction. */
	readonly requestId: string;
	readonly class: WorkClass;
	readonly remainingMs: number;
	readonly configVersion: number;
};

/** Runs a statement in a transaction that the owner holds. */
export type RunCall = {
	readonly group: string;
	readonly requestId: string;
	readonly statement: string;
	readonly values: readonly unknown[];
	readonly class: WorkClass;
	readonly remainingMs: number;
};

/** Commits or rolls back a transaction that the owner holds. */
export type EndCall = {
	readonly group: string;
	readonly requestId: string;
	readonly remainingMs: number;
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		begin: {req: BeginCall; res: OwnerResponse};
		run: {req: RunCall; res: OwnerResponse};
		commit: {req: EndCall; res: OwnerResponse};
		rollback: {req: EndCall; res: OwnerResponse};
	}
}
