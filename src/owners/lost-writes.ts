import type {FloorReadAnswer} from '../endpoints/endpoint.js';
import type {EndpointConfig} from '../groups/group-config.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {OwnerResponse} from '../routing/owner-request.js';
import type {LogPosition} from '../terms/log-position.js';
import {Confirmation} from './confirmer.js';
import type {GroupParts} from './group-parts.js';
import {createNotRunResponse, createRefusal} from './owner-responses.js';

/** A server's answer which shows that its log has passed a session's floor without holding the floor's entry. */
export type DetectedLoss = {
	readonly endpoint: EndpointConfig;
	readonly answer: FloorReadAnswer;
	readonly floor: LogPosition;
};

/** Every log that ends in a term holds the term's first entry, and with it all that the promotion kept. */
const ANY_POSITION = 1;

/**
 * Returns the refusal which says that an acknowledged write of the session was lost, or undefined if that is not final.
 *
 * Guards against reporting the loss too early: the server that was promoted without the write may fail before any other
 * follows it, and the next promotion may restore the old primary's log with the write in it. Once the logs of a majority
 * end in the term that lacks the write, every later promotion starts from such a log.
 */
export async function refuseLostWrite(group: GroupParts, {endpoint, answer, floor}: DetectedLoss, deadlineAt: number): Promise<OwnerResponse | undefined> {
	const {status} = answer;
	if (status.log.term !== status.term) {
		return undefined;
	}

	const confirmation = await group.confirmer.confirm({
		term: status.term, position: ANY_POSITION, reportedBy: endpoint.name, status, deadlineAt,
	});
	if (confirmation !== Confirmation.Confirmed) {
		return undefined;
	}

	const refusal = createRefusal(RefusalCode.WriteLost, {
		reason: `a promotion went on without position ${floor.position} of term ${floor.term}, up to which writes of this session were acknowledged`,
		facts: {
			endpoint: endpoint.name,
			floorTerm: floor.term,
			floorPosition: floor.position,
			term: status.log.term,
			position: status.log.position,
			durability: group.getGroup().cfg.durability,
		},
		retryAfterMs: 0,
	});
	return {...createNotRunResponse(refusal), log: status.log};
}
