import {MAX_ROUTING_LAG_MS} from '../mirror/store-mirror.js';
import type {Route} from '../routes/routing.js';
import {AnswerCode} from '../statements/statement-answer.js';
import {AccessDenial} from '../workspaces/caller-access.js';
import type {KeyFingerprint} from '../workspaces/key-index.js';
import type {Workspace} from '../workspaces/workspace.js';
import type {GatewayParts} from './gateway-parts.js';
import {refuse, type RefusalResult} from './statement-result.js';

/** Whether a caller's request is admitted, and the workspace for which it runs. */
export type Admission =
	| {readonly admitted: true; readonly workspace?: Workspace}
	| {readonly admitted: false; readonly workspace?: Workspace; readonly refusal: RefusalResult};

/** Retry-after of a host that cannot verify keys, in milliseconds; short, since another host may verify them at once. */
const UNVERIFIABLE_RETRY_AFTER_MS = 50;

const UNKNOWN_KEY = refuse(AnswerCode.Unauthenticated, 'no workspace has this key; nothing is kept');
const UNVERIFIABLE = refuse(AnswerCode.Overloaded, 'this host cannot tell whether the key is valid; nothing is kept', UNVERIFIABLE_RETRY_AFTER_MS);

const OTHER_WORKSPACE = refuse(AnswerCode.Unauthenticated, 'the key is of another workspace now; nothing is kept');

/**
 * Admits a request where its caller's key is valid. That no workspace has the key is proven by a configuration that the store has confirmed lately; an earlier one may lack a key that
 * was added since.
 */
export function admitCaller({access, elapsedClock, mirror}: GatewayParts, fingerprint: KeyFingerprint, route: Route): Admission {
	const now = elapsedClock.elapsed();
	const verdict = access.authorize(fingerprint, route, now);
	if (verdict.allowed) {
		return {admitted: true, workspace: verdict.workspace};
	}

	const isProven = now - (mirror.routingConfirmedAt ?? Number.NEGATIVE_INFINITY) <= MAX_ROUTING_LAG_MS;
	return {admitted: false, refusal: verdict.denial === AccessDenial.UnknownKey && isProven ? UNKNOWN_KEY : UNVERIFIABLE};
}

/**
 * Returns the refusal to a statement of an open transaction whose caller's key is no longer valid, or no longer belongs to the workspace for which the
 * transaction was begun; undefined where it still does.
 */
export function refuseInTransaction(parts: GatewayParts, fingerprint: KeyFingerprint, route: Route, begunFor: Workspace | undefined): RefusalResult | undefined {
	const admission = admitCaller(parts, fingerprint, route);
	if (!admission.admitted) {
		return admission.refusal;
	}

	return admission.workspace?.name === begunFor?.name ? undefined : OTHER_WORKSPACE;
}

/** Admits an operation where its caller's key is valid and the workspace is within its rate limit. */
export async function admitOperation(parts: GatewayParts, fingerprint: KeyFingerprint, route: Route): Promise<Admission> {
	const admission = admitCaller(parts, fingerprint, route);
	if (!admission.admitted || !admission.workspace) {
		return admission;
	}

	const verdict = await parts.rateLimiter.take(admission.workspace);
	return verdict.allowed
		? admission
		: {
			admitted: false,
			workspace: admission.workspace,
			refusal: refuse(AnswerCode.RateLimited, 'the workspace is over its rate limit; nothing ran', verdict.retryAfterMs),
		};
}
