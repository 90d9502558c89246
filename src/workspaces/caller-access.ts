import type {Route, Routing} from '../routes/routing.js';
import {createKeyIndex, type KeyFingerprint, type KeyIndex} from './key-index.js';
import type {Workspace} from './workspace.js';

/** Why a caller is denied access. */
export const AccessDenial = {
	/** No workspace of the configuration has the key. */
	UnknownKey: 'unknown-key',
	/** The key may have been revoked: the configuration was last confirmed too long ago. */
	Unverifiable: 'unverifiable',
} as const;

/** One of the reasons in {@link AccessDenial}. */
export type AccessDenial = typeof AccessDenial[keyof typeof AccessDenial];

/** Whether a caller may use a route, and the workspace on whose behalf it does. */
export type AccessDecision =
	| {readonly allowed: true; readonly workspace?: Workspace}
	| {readonly allowed: false; readonly denial: AccessDenial};

/** Authorizes callers and identifies their workspaces. */
export type CallerAccess = {
	/** Authorizes a request that arrived at the elapsed time `now`. */
	authorize(fingerprint: KeyFingerprint, route: Route, now: number): AccessDecision;
};

/** Options of {@link createCallerAccess}. */
export type CallerAccessOptions = {
	/** Returns the configuration in force, and the elapsed time at which the latest request that confirmed it was sent to the store. */
	getRoutingState(): {readonly routing?: Routing; readonly routingConfirmedAt?: number};
	/** Time after which a revoked key must not be accepted by any host, in milliseconds; undefined where it is not bounded. */
	readonly revokeWithinMs?: number;
};

/** Safety margin of the bound, in milliseconds: the clocks of hosts and callers run at different rates. */
const REVOKE_MARGIN_MS = 20;

/**
 * Creates the access check.
 *
 * Guards against a revoked key that is still accepted by a host without store updates. A response of the store includes every change acknowledged before it was
 * requested, so a key in the copy was valid at the time of the request. A caller's request that arrives within the bound after that time was sent within the bound
 * after any revocation that the copy lacks. What confirms primaries during an outage of the store does not cover keys and does not count.
 */
export function createCallerAccess({getRoutingState, revokeWithinMs}: CallerAccessOptions): CallerAccess {
	let indexedRouting: Routing | undefined;
	let index: KeyIndex = createKeyIndex([]);

	const getIndex = (routing: Routing) => {
		if (routing !== indexedRouting) {
			index = createKeyIndex(routing.workspaces.values());
			indexedRouting = routing;
		}

		return index;
	};

	const isVerifiable = (routingConfirmedAt: number | undefined, now: number) =>
		revokeWithinMs === undefined || (routingConfirmedAt !== undefined && now - routingConfirmedAt <= revokeWithinMs - REVOKE_MARGIN_MS);

	return {
		authorize(fingerprint, route, now) {
			const {routing, routingConfirmedAt} = getRoutingState();
			const workspace = routing && getIndex(routing).getWorkspace(fingerprint);
			if (!route.needsKey) {
				return {allowed: true, workspace};
			}

			if (!workspace) {
				return {allowed: false, denial: AccessDenial.UnknownKey};
			}

			return isVerifiable(routingConfirmedAt, now) ? {allowed: true, workspace} : {allowed: false, denial: AccessDenial.Unverifiable};
		},
	};
}
