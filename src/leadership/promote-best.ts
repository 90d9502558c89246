import {EndpointRole} from '../endpoints/endpoint.js';
import type {EndpointStatus} from '../links/endpoint-link.js';
import {askStatus} from './ask-endpoints.js';
import {
	getMinTerm, isNeverReplaced, rankSuccessors, type SuccessorCandidate,
} from './choose-successor.js';
import {LeadershipPhase, type LeadershipRecord} from './leadership-record.js';
import {ORDER_EFFECT_MS, ORDER_TIMEOUT_MS, OrderOutcome} from './promotion-orders.js';
import {RETRY_MS, type ReplacePrimaryParts} from './replace-parts.js';

/** Interval at which a promoted endpoint is asked whether it is primary, in milliseconds; a promotion takes 600 to 1,000. */
const PROMOTION_POLL_INTERVAL_MS = 40;

/** A promotion that has had no visible effect for this long is ordered again, in milliseconds: three times the longest promotion. */
const PROMOTION_TIMEOUT_MS = 3000;

/** The endpoints that may become primary. */
export type Successors = {
	readonly candidates: readonly SuccessorCandidate[];
	/** The primary that still serves; it remains primary if no candidate can be promoted. */
	readonly former: readonly SuccessorCandidate[];
	/** Returns the distance of a candidate from the group's callers, in milliseconds; undefined where it does not count. */
	readonly getDistance?: (endpointId: string) => number;
};

/** Promotes the best candidate that is running and waits until it is primary; resolves to undefined if none could be promoted before `until`. */
export async function promoteBestCandidate(parts: ReplacePrimaryParts, successors: Successors, before: LeadershipRecord, until: number): Promise<SuccessorCandidate | undefined> {
	const {log} = parts;
	const ranked = [...rankSuccessors(successors.candidates, before, successors.getDistance)];
	const lastResort = [...successors.former];
	// Only if the group was steady is it certain that no other endpoint was ordered to be promoted since the candidates were asked.
	let isFirst = before.phase === LeadershipPhase.Steady;
	while (parts.clock.now() < until) {
		if (ranked.length === 0) {
			ranked.push(...lastResort.splice(0));
		}

		const best = ranked[0];
		if (!best) {
			return undefined;
		}

		// The first order follows the candidates' responses by milliseconds, or comes after their fences were checked again.
		const now = isFirst ? best.status : await askAgain(parts, best);
		if (!isSameIncarnation(parts, best, now)) {
			log.info('a candidate has restarted and lost its log', {group: before.group, endpoint: best.endpointId, held: best.status.received});
			ranked.shift();
			continue;
		}

		const proof = isFirst ? getFirstOrderProof(best, before) : getLaterOrderProof(now);
		const outcome = await orderPromotion(parts, before.group, best.endpointId);
		if (outcome === OrderOutcome.NotRunning) {
			ranked.shift();
			continue;
		}

		if (outcome === undefined) {
			log.info('the failover lease was lost', {group: before.group});
			return undefined;
		}

		if (outcome === OrderOutcome.Refused) {
			await parts.clock.sleep(RETRY_MS);
			continue;
		}

		isFirst = false;
		const status = await waitUntilPromoted(parts, best, outcome === OrderOutcome.Accepted ? proof : {...proof, sameTermAfterMs: Number.POSITIVE_INFINITY});
		if (status) {
			return {...best, status};
		}

		// The endpoint may have stopped after the order, so the next candidate is tried before it is tried again.
		ranked.push(ranked.shift()!);
	}

	return undefined;
}

/**
 * Whether a candidate is still the incarnation that was asked, as far as can be observed.
 *
 * A server that has restarted meanwhile and lost its log must not be promoted: the order names only the server, and every replica would roll back to
 * its empty log. A restart is visible as an incarnation that is no longer registered, or as an empty log. A shorter log may have been rolled back by an
 * earlier order.
 */
function isSameIncarnation({directory}: ReplacePrimaryParts, {endpointId, status}: SuccessorCandidate, now: EndpointStatus | undefined): boolean {
	const isEmptied = now?.received.position === 0 && status.received.position > 0;
	return directory.get(endpointId) !== undefined && !isEmptied;
}

async function askAgain(parts: ReplacePrimaryParts, {endpointId}: SuccessorCandidate): Promise<EndpointStatus | undefined> {
	const endpoint = parts.directory.get(endpointId);
	return endpoint && askStatus(parts, endpoint, {kind: 'status'});
}

/**
 * Gives the promotion order if the failover lease lasts longer than the order may take; resolves to undefined if the lease could not be kept.
 *
 * Prevents an order of a former holder from arriving after one of its successor: the order and its connection are abandoned before another host can
 * hold the lease.
 */
async function orderPromotion({failoverLease, orders, log, hostName}: ReplacePrimaryParts, group: string, endpointId: string): Promise<OrderOutcome | undefined> {
	if (failoverLease.getToken(ORDER_TIMEOUT_MS) === undefined && !await failoverLease.take()) {
		return undefined;
	}

	return failoverLease.giveOrder(ORDER_TIMEOUT_MS, async token => {
		const outcome = await orders.promote({
			group, endpointId, holder: hostName, token,
		}, ORDER_TIMEOUT_MS);
		log.info('an endpoint was ordered to lead', {
			group, endpoint: endpointId, fence: token, outcome,
		});
		return outcome;
	});
}

/** The conditions under which an endpoint's status proves that an order took effect, or that the endpoint was primary before and remains so. */
type PromotionProof = {
	/** A primary in this term or a later one proves it. */
	readonly minTerm: number;
	/** A primary whose status `acceptsSameTerm` accepts proves it this long after the order, in milliseconds; never if the order was not accepted. */
	readonly sameTermAfterMs: number;
	acceptsSameTerm(status: EndpointStatus): boolean;
};

/** The proof for the first order since the group was steady: no endpoint other than the recorded primary has led since, unless an order came from outside this system. */
function getFirstOrderProof(candidate: SuccessorCandidate, before: LeadershipRecord): PromotionProof {
	return {
		minTerm: getMinTerm(candidate, before),
		sameTermAfterMs: PROMOTION_TIMEOUT_MS,
		acceptsSameTerm: status => isNeverReplaced(candidate.endpointId, status, before),
	};
}

/**
 * The proof for an order that may follow other orders, of this host or of a host that died.
 *
 * An endpoint may show the effect of an earlier order while another endpoint has been ordered to be promoted since and does not respond: commits at
 * the first would be lost. So its term must be later than the one it reported just before this order, when all earlier orders had taken effect; or
 * the order was accepted and changed nothing, which the platform does only for the present primary.
 */
function getLaterOrderProof(now: EndpointStatus | undefined): PromotionProof {
	return {minTerm: now ? now.term + 1 : Number.POSITIVE_INFINITY, sameTermAfterMs: ORDER_EFFECT_MS, acceptsSameTerm: () => true};
}

/** Waits until the endpoint reports a status that satisfies the proof; resolves to undefined if it does not within the promotion timeout. */
async function waitUntilPromoted(parts: ReplacePrimaryParts, candidate: SuccessorCandidate, {minTerm, sameTermAfterMs, acceptsSameTerm}: PromotionProof): Promise<EndpointStatus | undefined> {
	const orderedAt = parts.clock.now();
	for (let askedAt = orderedAt; askedAt < orderedAt + PROMOTION_TIMEOUT_MS + PROMOTION_POLL_INTERVAL_MS; askedAt = parts.clock.now()) {
		const endpoint = parts.directory.get(candidate.endpointId);
		const status = endpoint && await askStatus(parts, endpoint, {kind: 'status'});
		const isPromoted = status?.role === EndpointRole.Primary && (status.term >= minTerm || (askedAt >= orderedAt + sameTermAfterMs && acceptsSameTerm(status)));
		if (isPromoted) {
			return status;
		}

		await parts.clock.sleep(PROMOTION_POLL_INTERVAL_MS);
	}

	return undefined;
}
