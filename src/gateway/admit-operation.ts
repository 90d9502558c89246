import type {Route} from '../routes/routing.js';
import {AnswerCode} from '../statements/statement-answer.js';
import {AccessDenial} from '../workspaces/caller-access.js';
import type {KeyFingerprint} from '../workspaces/key-index.js';
import type {Workspace} from '../workspaces/workspace.js';
import type {GatewayParts} from './gateway-parts.js';
import {createProofWait, type ProofWaitOptions} from './proof-wait.js';
import {refuse, type RefusalResult} from './statement-result.js';

/** Whether a caller's request is admitted, and the workspace for which it runs. */
export type Admission =
	| {readonly admitted: true; readonly workspace?: Workspace}
	| {readonly admitted: false; readonly workspace?: Workspace; readonly refusal: RefusalResult};

/** Retry-after of a host that cannot verify keys, in milliseconds; short, since another host may verify them at once. */
const UNVERIFIABLE_RETRY_AFTER_MS = 50;

const UNKNOWN_KEY = refuse(AnswerCode.Unauthenticated, 'no workspace has this key; nothing is kept');
const UNVERIFIABLE = refuse(AnswerCode.Overloaded, 'this host cannot tell whether the key was revoked; nothing is kept', UNVERIFIABLE_RETRY_AFTER_MS);

const OTHER_WORKSPACE = refuse(AnswerCode.Unauthenticated, 'the key is of another workspace now; nothing is kept');

/** Admits a request where its caller's key is valid. That no workspace has the key has to be proven, since one may have received it in a configuration that this host has not learnt of. */
export async function admitCaller(parts: GatewayParts, fingerprint: KeyFingerprint, route: Route, options: ProofWaitOptions): Promise<Admission> {
	const wait = createProofWait(parts, options);
	for (;;) {
		const admission = admitByKey(parts, fingerprint, route);
		if (admission.admitted || admission.refusal !== UNKNOWN_KEY || wait.isConfirmed()) {
			return admission;
		}

		if (!await wait.next()) {
			return {admitted: false, refusal: UNVERIFIABLE};
		}
	}
}

function admitByKey({access, elapsedClock}: GatewayParts, fingerprint: KeyFingerprint, route: Route): Admission {
	const verdict = access.authorize(fingerprint, route, elapsedClock.elapsed());
	if (verdict.allowed) {
		return {admitted: true, workspace: verdict.workspace};
	}

	return {admitted: false, refusal: verdict.denial === AccessDenial.UnknownKey ? UNKNOWN_KEY : UNVERIFIABLE};
}

/**
 * Returns the refusal to a statement of an open transaction whose caller's key is no longer valid, or no longer belongs to the workspace for which the
 * transaction was begun; undefined where it still does.
 */
export function refuseInTransaction(parts: GatewayParts, fingerprint: KeyFingerprint, route: Route, begunFor: Workspace | undefined): RefusalResult | undefined {
	const admission = admitByKey(parts, fingerprint, route);
	if (!admission.admitted) {
		return admission.refusal;
	}

	return admission.workspace?.name === begunFor?.name ? undefined : OTHER_WORKSPACE;
}

/** Admits an operation where its caller's key is valid and the workspace is within its rate limit. */
export async function admitOperation(parts: GatewayParts, fingerprint: KeyFingerprint, route: Route, options: ProofWaitOptions): Promise<Admission> {
	const admission = await admitCaller(parts, fingerprint, route, options);
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
