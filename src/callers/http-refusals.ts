import type {Explanations} from '../explanations/explanations.js';
import type {AskedKind} from '../metrics/metrics.js';
import type {Random} from '../random/random.js';
import {createRequestId} from '../random/request-id.js';
import {RefusalCode, type Refusal} from '../refusals/refusal.js';
import type {Clock} from '../time/clock.js';
import type {CallerAnswer, Outcome} from './caller-answer.js';

/** What refusing at the caller port needs. */
export type HttpRefusalsOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly hostName: string;
	readonly explanations: Pick<Explanations, 'record'>;
};

/** What is known of a request that the caller port itself refuses. */
export type AskedRequest = {
	readonly asked: AskedKind | 'unclear';
	readonly group?: string;
	/** The id that the answer speaks of; absent: a fresh one. */
	readonly requestId?: string;
	readonly class?: string;
};

/** Makes the answer to a request that the entry gave none to, and its record. */
export type HttpRefusals = (req: AskedRequest, outcome: Outcome, refusal: Refusal) => CallerAnswer;

/** Creates the caller port's refusals. */
export function createHttpRefusals({clock, random, hostName, explanations}: HttpRefusalsOptions): HttpRefusals {
	return (req, outcome, refusal) => {
		const requestId = req.requestId ?? createRequestId(clock.wall(), random);
		const ticket = explanations.record({
			...refusal,
			requestId,
			outcome,
			asked: req.asked,
			group: req.group ?? '',
			class: req.class ?? '',
			host: hostName,
			at: clock.wall(),
			configVersion: 0,
		});
		const {code, reason, retryAfterMs} = refusal;
		return {
			outcome,
			requestId,
			refusal: {
				code, reason, retryAfterMs, ticket,
			},
		};
	};
}

/** A host that is about to stop takes nothing new; another host takes it at once. */
export const LEAVING_REFUSAL: Refusal = {
	code: RefusalCode.HostLeaving,
	reason: 'this host is leaving and did not take this try; come back now, another host will',
	retryAfterMs: 0,
	facts: {},
};

/** A host that can wait no longer for work that it took: what was asked may have run, or may still. */
export const CUT_REFUSAL: Refusal = {
	code: RefusalCode.HostLeaving,
	reason: 'this host stops before the request has ended, which may have run; the outcome route tells',
	retryAfterMs: 0,
	facts: {},
};

/** A fault of this host's own: what was asked may have run. */
export const HOST_FAULT_REFUSAL: Refusal = {
	code: RefusalCode.HostFault,
	reason: 'this host failed while it handled the request, which may have run; the outcome route tells',
	retryAfterMs: 0,
	facts: {},
};
