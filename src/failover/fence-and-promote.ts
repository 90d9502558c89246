import {EndpointRole, type EndpointStatus, type TermAnswer} from '../endpoints/endpoint.js';
import {type EndpointConfig, getMajority} from '../groups/group-config.js';
import {holdsLogPosition} from '../terms/log-position.js';
import {type CandidatePreference, chooseCandidate, type FencedServer} from './choose-candidate.js';
import {throwNotPromoted, throwTermPassed} from './failover-errors.js';
import {fenceGroup, type FenceOptions} from './fence-group.js';
import {gatherAnswers, type Gathered} from './gather-answers.js';

/** Options of {@link fenceAndPromote}. */
export type FenceAndPromoteOptions = Omit<FenceOptions, 'awaited'> & CandidatePreference;

/** A primary that was promoted. */
export type PromotedPrimary = {
	readonly endpoint: EndpointConfig;
	readonly status: EndpointStatus;
	readonly term: number;
	/** Time that fencing took, in milliseconds. */
	readonly fenceMs: number;
	/** Time that promoting took, in milliseconds. */
	readonly promoteMs: number;
	/** Time from the promotion until a majority held the new primary's first entry, in milliseconds; from then on writes can be acknowledged. */
	readonly learnMs: number;
	/** Whether a majority was seen to follow the new primary in time. */
	readonly followed: boolean;
};

/** Fences the group at a term, promotes the server with the highest log and orders the others to follow it; rejects with FailoverError. */
export async function fenceAndPromote(options: FenceAndPromoteOptions): Promise<PromotedPrimary> {
	const {clock, term} = options;
	const startedAt = clock.now();
	const fenced = await fenceGroup({...options, awaited: options.preferred});
	const fencedAt = clock.now();
	const candidate = chooseCandidate(fenced, options) ?? throwNotPromoted('no server', term);
	const status = await promote(options, candidate);
	const promotedAt = clock.now();
	const followed = await orderOthersToFollow(options, candidate.endpoint, status);

	return {
		endpoint: candidate.endpoint,
		status,
		term,
		fenceMs: fencedAt - startedAt,
		promoteMs: promotedAt - fencedAt,
		learnMs: clock.now() - promotedAt,
		followed,
	};
}

async function promote(options: FenceAndPromoteOptions, candidate: FencedServer): Promise<EndpointStatus> {
	const {control, settings, term} = options;
	const {name} = candidate.endpoint;
	let status: EndpointStatus;

	try {
		({status} = await control.promote(name, term, settings.promoteMs));
	} catch (err) {
		status = await resolveLostPromotion(options, name, err);
	}

	if (status.term > term) {
		throwTermPassed(term, status.term);
	}

	return status.role === EndpointRole.Primary ? status : throwNotPromoted(name, term);
}

/**
 * Requests the candidate's status after the answer to its promotion was lost.
 *
 * Never promotes another server at the same term instead: the order may have taken effect, or still may, and two
 * primaries of one term could both have writes confirmed. Without an answer the next attempt uses a higher term.
 */
async function resolveLostPromotion(options: FenceAndPromoteOptions, candidate: string, cause: unknown): Promise<EndpointStatus> {
	try {
		return await options.control.status(candidate, options.settings.promoteMs);
	} catch {
		return throwNotPromoted(candidate, options.term, cause);
	}
}

async function orderOthersToFollow(options: FenceAndPromoteOptions, primary: EndpointConfig, status: EndpointStatus): Promise<boolean> {
	const {clock, control, cfg, settings, term} = options;
	const needed = getMajority(cfg) - 1;

	const follow = async (endpoint: EndpointConfig): Promise<TermAnswer> => {
		const answer = await control.follow(endpoint.name, term, primary.address, settings.learnMs);
		if (!answer.granted) {
			return answer;
		}

		return {granted: true, status: await control.waitFor(endpoint.name, status.log, settings.learnMs)};
	};

	const countFollowers = (answers: ReadonlyArray<Gathered<TermAnswer>>) =>
		answers.filter(({answer}) => answer.granted && answer.status.term === term && holdsLogPosition(answer.status.log, status.log)).length;

	const answers = await gatherAnswers({
		clock,
		endpoints: cfg.endpoints.filter(({name}) => name !== primary.name),
		ask: follow,
		isEnough: gathered => countFollowers(gathered) >= needed,
		stragglerMs: 0,
		boundMs: settings.learnMs,
	});

	// A promoter that was paused between fence and promotion may have promoted a server whose term is already superseded.
	const superseding = answers.find(({answer}) => answer.status.term > term);
	if (superseding) {
		throwTermPassed(term, superseding.answer.status.term);
	}

	return countFollowers(answers) >= needed;
}
