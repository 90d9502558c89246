/** What a host that replaces a primary asks of the others. */
export type RevokeRequest = {
	readonly group: string;
	/** Evidence below this epoch is to be given up. */
	readonly epoch: number;
	/** Work that is under way may end first, in milliseconds; 0 where the primary is lost anyway. */
	readonly settleMs: number;
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		/** Answered once the evidence is given up. */
		'lead-revoke': {req: RevokeRequest; res: {readonly revoked: true}};
		/** Whether the answering host reaches an endpoint. */
		'lead-opinion': {req: {readonly endpointId: string}; res: {readonly reachable: boolean}};
		/** Asks the holder of the duty to replace a primary that hosts agreed is lost. */
		'lead-replace': {req: {readonly group: string; readonly epoch: number; readonly reason: string}; res: {readonly taken: boolean}};
		/** Tells that a record was changed; whoever hears it asks the sender for it. */
		'lead-changed': {req: {readonly group: string}; res: {readonly heard: true}};
	}
}

/** Longest call between hosts about leadership, in milliseconds: some hundred times the way between two zones. */
export const LEAD_CALL_TIMEOUT_MS = 400;
