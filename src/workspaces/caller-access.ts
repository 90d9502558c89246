import type {Route, Routing} from '../routes/routing.js';
import {createKeyIndex, type KeyFingerprint, type KeyIndex} from './key-index.js';
import type {Workspace} from './workspace.js';

/** Why a caller is not served. */
export const AccessDenial = {
	/** No workspace of the configuration holds the key. */
	UnknownKey: 'unknown-key',
	/** Whether the key is still good cannot be told: the configuration was last confirmed too long ago. */
	Unverifiable: 'unverifiable',
} as const;

/** One of the reasons in {@link AccessDenial}. */
export type AccessDenial = typeof AccessDenial[keyof typeof AccessDenial];

/** Whether a caller may use a route, and for which workspace it does. */
export type AccessVerdict =
	| {readonly allowed: true; readonly workspace?: Workspace}
	| {readonly allowed: false; readonly denial: AccessDenial};

/** Decides on behalf of whom a caller acts. */
export type CallerAccess = {
	/** Judges a request that arrived at the elapsed time `now`. */
	judge(fingerprint: KeyFingerprint, route: Route, now: number): AccessVerdict;
};

/** What the decision needs. */
export type CallerAccessOptions = {
	/** The configuration in force, and the elapsed time at which the store was last asked for a later one. */
	getKnown(): {readonly routing?: Routing; readonly routingConfirmedAt?: number};
	/** Time after which a revoked key must not be honoured anywhere, in milliseconds; undefined where nothing bounds it. */
	readonly revokeWithinMs?: number;
};

/** Part of the bound that is left unused, in milliseconds: the clocks of hosts and callers differ in rate. */
const REVOKE_MARGIN_MS = 20;

/**
 * Creates the decision.
 *
 * Guards against a revoked key that goes on at a host without news. A change that was acknowledged before the store was asked shows in the answer, so a key
 * in the copy was good at the time of asking; a request that arrives within the bound after that was sent within the bound after any revocation that the copy
 * lacks. What confirms primaries in an outage of the store says nothing of keys and does not count.
 */
export function createCallerAccess({getKnown, revokeWithinMs}: CallerAccessOptions): CallerAccess {
	let indexed: Routing | undefined;
	let index: KeyIndex = createKeyIndex([]);

	const getIndex = (routing: Routing) => {
		if (routing !== indexed) {
			index = createKeyIndex(routing.workspaces.values());
			indexed = routing;
		}

		return index;
	};

	const isVerifiable = (routingConfirmedAt: number | undefined, now: number) =>
		revokeWithinMs === undefined || (routingConfirmedAt !== undefined && now - routingConfirmedAt <= revokeWithinMs - REVOKE_MARGIN_MS);

	return {
		judge(fingerprint, route, now) {
			const {routing, routingConfirmedAt} = getKnown();
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
