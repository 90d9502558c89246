import {EndpointRole} from '../endpoints/endpoint.js';
import type {EndpointStatus} from '../links/endpoint-link.js';
import {askStatus} from './ask-endpoints.js';
import {
	getLeastTerm, isNeverReplaced, rankSuccessors, type SuccessorCandidate,
} from './choose-successor.js';
import {LeadPhase, type LeadershipRecord} from './leadership-record.js';
import {ORDER_EFFECT_MS, OrderOutcome} from './promotion-orders.js';
import {RETRY_MS, type ReplacePrimaryParts} from './replace-parts.js';

/** Longest order to promote, in milliseconds; usually answered after 13. */
const ORDER_TIMEOUT_MS = 600;

/** How often a promoted endpoint is asked whether it leads by now, in milliseconds; it takes 600 to 1,000. */
const PROMOTED_POLL_MS = 40;

/** A promotion that shows no effect for so long is ordered anew, in milliseconds: three times the longest seen. */
const PROMOTED_WITHIN_MS = 3000;

/** Who may lead next. */
export type Successors = {
	readonly candidates: readonly SuccessorCandidate[];
	/** A primary that still serves, which goes on where nothing else can lead. */
	readonly former: readonly SuccessorCandidate[];
};

/** Promotes the best candidate that runs, and waits until it leads. */
export async function promoteBest(parts: ReplacePrimaryParts, {candidates, former}: Successors, before: LeadershipRecord, until: number): Promise<SuccessorCandidate | undefined> {
	const {log} = parts;
	const ranked = [...rankSuccessors(candidates, before)];
	const lastResort = [...former];
	// Only then can nobody else have been ordered to lead since the candidates were asked.
	let isFirst = before.phase === LeadPhase.Steady;
	while (parts.clock.now() < until) {
		if (ranked.length === 0) {
			ranked.push(...lastResort.splice(0));
		}

		const best = ranked[0];
		if (!best) {
			return undefined;
		}

		// The first order follows the question for candidates by milliseconds, or comes after their fences were seen again.
		const now = isFirst ? best.status : await askAgain(parts, best);
		if (!isSameLife(parts, best, now)) {
			log.info('a candidate has started again without what it held', {group: before.group, endpoint: best.endpointId, held: best.status.received});
			ranked.shift();
			continue;
		}

		const proof = isFirst ? getFirstProof(best, before) : getLaterProof(now);
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

		isFirst = false;
		const status = await waitUntilLeads(parts, best, outcome === OrderOutcome.Accepted ? proof : {...proof, showsBy: Number.POSITIVE_INFINITY});
		if (status) {
			return {...best, status};
		}

		// It may have stopped after the order: the next one is tried before it is tried again.
		ranked.push(ranked.shift()!);
	}

	return undefined;
}

/**
 * Whether a candidate is still the one that was asked, as far as can be seen.
 *
 * Guards against an order to a server that has started again meanwhile and lost its log: the order names the server alone, and every replica would follow it
 * into an empty log. It shows as a life that is no longer registered, or as an empty log; a shorter one may have been rolled back by an earlier order.
 */
function isSameLife({directory}: ReplacePrimaryParts, {endpointId, status}: SuccessorCandidate, now: EndpointStatus | undefined): boolean {
	const isEmptied = now?.received.position === 0 && status.received.position > 0;
	return directory.get(endpointId) !== undefined && !isEmptied;
}

async function askAgain(parts: ReplacePrimaryParts, {endpointId}: SuccessorCandidate): Promise<EndpointStatus | undefined> {
	const endpoint = parts.directory.get(endpointId);
	return endpoint && askStatus(parts, endpoint, {kind: 'status'});
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

/** What shows that an order took effect, or that its endpoint led already and leads on. */
type EffectProof = {
	/** The endpoint leads in this term at least. */
	readonly leastTerm: number;
	/** It leads in a term that `leadsOn` admits so long after an order that was accepted, in milliseconds. */
	readonly showsBy: number;
	leadsOn(status: EndpointStatus): boolean;
};

/** The first order since the group was steady: nobody but the recorded primary has led since, unless somebody outside had it so. */
function getFirstProof(candidate: SuccessorCandidate, before: LeadershipRecord): EffectProof {
	return {
		leastTerm: getLeastTerm(candidate, before),
		showsBy: PROMOTED_WITHIN_MS,
		leadsOn: status => isNeverReplaced(candidate.endpointId, status, before),
	};
}

/**
 * An order after which others may have been given, here or by a host that died.
 *
 * Guards against an endpoint that shows the effect of an earlier order while another has been ordered to lead since and is not heard: what is
 * committed there is lost. So its term must be later than what it showed just before the order, when all earlier orders had
 * taken effect; or the order was accepted and left it as it was, as the platform does with the present primary alone.
 */
function getLaterProof(now: EndpointStatus | undefined): EffectProof {
	return {leastTerm: now ? now.term + 1 : Number.POSITIVE_INFINITY, showsBy: ORDER_EFFECT_MS, leadsOn: () => true};
}

/** Waits until the endpoint says that it leads, as the proof asks for. */
async function waitUntilLeads(parts: ReplacePrimaryParts, candidate: SuccessorCandidate, {leastTerm, showsBy, leadsOn}: EffectProof): Promise<EndpointStatus | undefined> {
	const orderedAt = parts.clock.now();
	for (let askedAt = orderedAt; askedAt < orderedAt + PROMOTED_WITHIN_MS + PROMOTED_POLL_MS; askedAt = parts.clock.now()) {
		const endpoint = parts.directory.get(candidate.endpointId);
		const status = endpoint && await askStatus(parts, endpoint, {kind: 'status'});
		const shows = status?.role === EndpointRole.Primary && (status.term >= leastTerm || (askedAt >= orderedAt + showsBy && leadsOn(status)));
		if (shows) {
			return status;
		}

		await parts.clock.sleep(PROMOTED_POLL_MS);
	}

	return undefined;
}
