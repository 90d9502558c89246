import type {Explanations} from '../explanations/explanations.js';
import type {CallerOperation} from '../metrics/metrics.js';
import type {Random} from '../random/random.js';
import {createRequestId} from '../random/request-id.js';
import {RefusalCode, type Refusal} from '../refusals/refusal.js';
import type {Clock} from '../time/clock.js';
import type {CallerResponse, Outcome} from './caller-response.js';

/** Options of {@link createHttpRefusals}. */
export type HttpRefusalsOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly hostName: string;
	readonly explanations: Pick<Explanations, 'record'>;
};

/** What the caller port knows of a request when it refuses the request itself. */
export type RequestSummary = {
	readonly asked: CallerOperation | 'unclear';
	readonly group?: string;
	/** The id that the response states; absent: a new one. */
	readonly requestId?: string;
	readonly class?: string;
};

/** Creates the response to a request that the entry did not respond to, and records the refusal. */
export type HttpRefusals = (req: RequestSummary, outcome: Outcome, refusal: Refusal) => CallerResponse;

/** Creates the function that makes the caller port's refusals. */
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

/** A host that is about to stop accepts no new work; another host accepts it at once. */
export const LEAVING_REFUSAL: Refusal = {
	code: RefusalCode.HostLeaving,
	reason: 'this host is leaving and did not take this try; come back now, another host will',
	retryAfterMs: 0,
	facts: {},
};

/** A stopping host no longer waits for work that it accepted: the request may have run, or may still run. */
export const ABANDONED_REFUSAL: Refusal = {
	code: RefusalCode.HostLeaving,
	reason: 'this host stops before the request has ended, which may have run; the outcome route tells',
	retryAfterMs: 0,
	facts: {},
};

/** A fault of this host: the request may have run. */
export const HOST_FAULT_REFUSAL: Refusal = {
	code: RefusalCode.HostFault,
	reason: 'this host failed while it handled the request, which may have run; the outcome route tells',
	retryAfterMs: 0,
	facts: {},
};
