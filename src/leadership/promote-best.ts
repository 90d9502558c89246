import {EndpointRole} from '../endpoints/endpoint.js';
import type {EndpointStatus} from '../links/endpoint-link.js';
import {askStatus} from './ask-endpoints.js';
import {
	getLeastTerm, isNeverReplaced, rankSuccessors, type SuccessorCandidate,
} from './choose-successor.js';
import type {LeadershipRecord} from './leadership-record.js';
import {OrderOutcome} from './promotion-orders.js';
import {RETRY_MS, type ReplacePrimaryParts} from './replace-parts.js';

/** Longest order to promote, in milliseconds; usually answered after 13. */
const ORDER_TIMEOUT_MS = 600;

/** How often a promoted endpoint is asked whether it leads by now, in milliseconds; it takes 600 to 1,000. */
const PROMOTED_POLL_MS = 40;

/** A promotion that shows no effect for so long is ordered anew, in milliseconds: three times the longest seen. */
const PROMOTED_WITHIN_MS = 3000;

/** Promotes the best candidate that runs, and waits until it leads. */
export async function promoteBest(parts: ReplacePrimaryParts, candidates: readonly SuccessorCandidate[], before: LeadershipRecord, until: number): Promise<SuccessorCandidate | undefined> {
	const {log} = parts;
	const ranked = [...rankSuccessors(candidates, before)];
	while (ranked.length > 0 && parts.clock.now() < until) {
		const best = ranked[0]!;
		const outcome = await orderPromotion(parts, before.group, best.endpointId);
		if (outcome === OrderOutcome.NotRunning) {
			ranked.shift();
			continue;
		}

		if (outcome === undefined) {
			log.info('the duty was lost', {group: before.group});
			return undefined;
		}

		if (outcome === OrderOutcome.Refused) {
			await parts.clock.sleep(RETRY_MS);
			continue;
		}

		const status = await waitUntilLeads(parts, best, before);
		if (status) {
			return {...best, status};
		}

		// It may have stopped after the order: the next one is tried before it is tried again.
		ranked.push(ranked.shift()!);
	}

	return undefined;
}

/**
 * Gives the order while the duty outlasts it; undefined where the duty could not be kept.
 *
 * Guards against an order of a former holder that arrives after its successor's: the order is given up, and its
 * connection with it, before the duty can be another's.
 */
async function orderPromotion({duty, orders, log, hostName}: ReplacePrimaryParts, group: string, endpointId: string): Promise<OrderOutcome | undefined> {
	if (duty.getToken(ORDER_TIMEOUT_MS) === undefined && !await duty.take()) {
		return undefined;
	}

	const token = duty.getToken(ORDER_TIMEOUT_MS);
	if (token === undefined) {
		return undefined;
	}

	const outcome = await orders.promote({
		group, endpointId, holder: hostName, token,
	}, ORDER_TIMEOUT_MS);
	log.info('an endpoint was ordered to lead', {
		group, endpoint: endpointId, fence: token, outcome,
	});
	return outcome;
}

/** Waits until the endpoint says that it leads in a term that shows that the order took effect. */
async function waitUntilLeads(parts: ReplacePrimaryParts, candidate: SuccessorCandidate, before: LeadershipRecord): Promise<EndpointStatus | undefined> {
	const until = parts.clock.now() + PROMOTED_WITHIN_MS;
	const leastTerm = getLeastTerm(candidate, before);
	let last: EndpointStatus | undefined;
	while (parts.clock.now() < until) {
		const endpoint = parts.directory.get(candidate.endpointId);
		const status = endpoint && await askStatus(parts, endpoint, {kind: 'status'});
		if (status?.role === EndpointRole.Primary && status.term >= leastTerm) {
			return status;
		}

		last = status ?? last;
		await parts.clock.sleep(PROMOTED_POLL_MS);
	}

	return last && isNeverReplaced(candidate.endpointId, last, before) ? last : undefined;
}
