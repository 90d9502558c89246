import type {EndpointRow, PromoteResult, SessionRow} from './fleet-view.js';

/** The endpoints of a group as one owner sees them. The age of an endpoint's data is sent as an age in milliseconds, so that no clocks are compared. */
export type FleetEndpointsResponse = {
	readonly endpoints: readonly EndpointRow[];
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		/** Returns the endpoints of a group as the called owner sees them. */
		'fleet-endpoints': {req: {readonly group: string}; res: FleetEndpointsResponse};
		/** Returns the sessions that the called host saw lately, or one of them. */
		'fleet-sessions': {req: {readonly sessionId?: string}; res: {readonly sessions: readonly SessionRow[]}};
		/** Returns the revision of the called host's configuration. */
		'fleet-host': {req: Record<string, never>; res: {readonly configRevision: number}};
		/** Makes an endpoint the primary of its group. */
		'fleet-promote': {req: {readonly group: string; readonly endpoint: string; readonly deadlineMs: number}; res: PromoteResult};
	}
}
