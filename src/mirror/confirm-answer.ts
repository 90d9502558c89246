import type {StateSnapshot} from './mirror-state.js';

/** Answer to a peer that asks whether its copy is still complete. */
export type ConfirmAnswer = {
	/** The store was read for this answer, after the question came, or all hosts confirmed it then. */
	readonly confirmed: boolean;
	/** How long ago the store itself confirmed the answering host's copy, in milliseconds. */
	readonly withoutStoreMs: number;
	readonly revision: number;
	/** What the answering host holds, where that is more than the asking one does. */
	readonly snapshot?: StateSnapshot;
	/** Groups that the answering host is changing, or whose change it asked for without hearing how that ended. */
	readonly changing: readonly string[];
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		/** `urgent`: the store is read at once for the answer, else with the next reading at its interval. */
		'mirror-confirm': {req: {readonly revision: number; readonly urgent: boolean}; res: ConfirmAnswer};
	}
}
