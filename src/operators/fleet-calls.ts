import type {EndpointRow, PromoteAnswer, SessionRow} from './fleet-view.js';

/** One owner's part of an operator's question about endpoints; times are ages in milliseconds, so that no clocks are compared. */
export type FleetEndpointsAnswer = {
	readonly endpoints: readonly EndpointRow[];
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		/** The endpoints of a group as this owner sees them. */
		'fleet-endpoints': {req: {readonly group: string}; res: FleetEndpointsAnswer};
		/** The sessions that this host saw lately, or one of them. */
		'fleet-sessions': {req: {readonly sessionId?: string}; res: {readonly sessions: readonly SessionRow[]}};
		/** How far this host's configuration is. */
		'fleet-host': {req: Record<string, never>; res: {readonly configRevision: number}};
		/** Hands a group's primary role to an endpoint. */
		'fleet-promote': {req: {readonly group: string; readonly endpoint: string; readonly deadlineMs: number}; res: PromoteAnswer};
	}
}
