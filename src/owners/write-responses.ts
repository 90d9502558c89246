import {Outcome} from '../callers/caller-response.js';
import {EndpointRole, KeyedWriteResult, type KeyedWriteAnswer} from '../endpoints/endpoint.js';
import type {EndpointConfig} from '../groups/group-config.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {OwnerResponse} from '../routing/owner-request.js';
import type {GroupParts, Primary} from './group-parts.js';
import {createNotRunResponse, createUnknownResponse, createRefusal} from './owner-responses.js';

/** Creates the responses of a group's write path. */
export type WriteResponses = {
	/** Nothing was sent: no primary is known. */
	refuseNoPrimary(): OwnerResponse;
	/** Nothing was sent: no connection to the primary was available; another owner may have one. */
	refuseNoConnection(primary: Primary, err: unknown): OwnerResponse;
	/** The request was sent and got no response. */
	refuseSilent(primary: Primary): OwnerResponse;
	/** The endpoint is no longer primary of the term; with `sent`, the request may have run there. */
	refuseSuperseded(endpoint: string, term: number, sent: boolean): OwnerResponse;
	/** The primary rejected the statement and rolled it back. */
	refuseFailed(primary: EndpointConfig, term: number, answer: KeyedWriteAnswer): OwnerResponse;
	/** The primary accepted the request, but it was not confirmed in time. */
	refuseNotConfirmed(primary: EndpointConfig, term: number, answer: KeyedWriteAnswer): OwnerResponse;
	/** What is stored under the request's key is confirmed. */
	respondConfirmed(primary: EndpointConfig, answer: KeyedWriteAnswer): OwnerResponse;
};

/** Retry delay for a caller while no primary is known, in milliseconds. */
const NO_PRIMARY_RETRY_MS = 500;

/** Retry delay for a caller after no connection to the primary was available, in milliseconds. */
const NO_CONNECTION_RETRY_MS = 100;

/** Creates the write responses of one group. */
export function createWriteResponses({knowledge, getGroup}: GroupParts): WriteResponses {
	return {
		refuseNoPrimary: () => createNotRunResponse(createRefusal(RefusalCode.NoPrimary, {
			reason: 'the group has no primary that could take the write',
			facts: {highestTerm: knowledge.highestTerm},
			retryAfterMs: NO_PRIMARY_RETRY_MS,
		})),
		refuseNoConnection({endpoint, parts, term}, err) {
			const load = parts.pool.getLoad();
			return createNotRunResponse(createRefusal(RefusalCode.NoConnection, {
				reason: `the primary ${endpoint.name} gave no connection`,
				facts: {
					endpoint: endpoint.name, term, cause: (err as Error).message, lent: load.lent, limit: load.limit,
				},
				retryAfterMs: NO_CONNECTION_RETRY_MS,
			}), true);
		},
		refuseSilent: ({endpoint, term}) => createUnknownResponse(createRefusal(RefusalCode.EndpointSilent, {
			reason: `the primary ${endpoint.name} gave no answer after the request was sent`,
			facts: {endpoint: endpoint.name, term},
		})),
		refuseSuperseded(endpoint, term, sent) {
			const refusal = createRefusal(RefusalCode.PrimarySuperseded, {
				reason: `${endpoint} is no longer primary of term ${term}`,
				facts: {endpoint, term, highestTerm: knowledge.highestTerm},
				retryAfterMs: 0,
			});
			return sent ? createUnknownResponse(refusal) : createNotRunResponse(refusal);
		},
		refuseFailed: (primary, term, answer) => createNotRunResponse(createRefusal(RefusalCode.StatementFailed, {
			reason: `${primary.name} rejected the statement and rolled it back: ${answer.message ?? 'no message'}`,
			facts: {endpoint: primary.name, term},
		})),
		refuseNotConfirmed: (primary, term, answer) => createUnknownResponse(createRefusal(RefusalCode.NotConfirmed, {
			reason: `${primary.name} took the request, but no majority confirmed it in time`,
			facts: {
				endpoint: primary.name, term, position: answer.status.log.position, durability: getGroup().cfg.durability,
			},
		})),
		respondConfirmed(primary, {result, rows, status}) {
			const facts = {endpoint: primary.name, term: status.term, position: status.log.position};
			if (result === KeyedWriteResult.Tombstone) {
				return createNotRunResponse(createRefusal(RefusalCode.Resolved, {
					reason: 'the request was settled as not run, and never will run under this id', facts,
				}));
			}

			if (result === KeyedWriteResult.Mismatch) {
				return createNotRunResponse(createRefusal(RefusalCode.RequestMismatch, {
					reason: 'another statement or other values stand under this request id', facts,
				}));
			}

			return {
				outcome: Outcome.Done, rows: rows ?? [], servedBy: primary.name, role: EndpointRole.Primary, log: status.log, ageMs: 0,
			};
		},
	};
}
