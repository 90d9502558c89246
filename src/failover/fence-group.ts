import {type EndpointConfig, getMajority, type GroupConfig} from '../groups/group-config.js';
import type {TermAnswer} from '../endpoints/endpoint.js';
import type {Clock} from '../time/clock.js';
import type {FencedServer} from './choose-candidate.js';
import {throwNoMajority, throwPaused, throwTermPassed} from './failover-errors.js';
import type {FailoverSettings} from './failover-settings.js';
import {gatherAnswers, type Gathered} from './gather-answers.js';
import type {GroupControl} from './group-control.js';

/** Options of {@link fenceGroup}. */
export type FenceOptions = {
	readonly clock: Clock;
	readonly control: GroupControl;
	readonly cfg: GroupConfig;
	readonly settings: FailoverSettings;
	readonly term: number;
	/** An endpoint whose grant is not counted: a primary that is cut off from its group. */
	readonly excluded?: string;
	/** An endpoint whose grant is awaited in addition to a majority. */
	readonly awaited?: string;
};

/**
 * Raises the promised term at all servers concurrently and returns those that granted it, at least a majority.
 *
 * Once a majority granted the term, no write of an older term can be confirmed any more, and no other promoter can get
 * a majority for this term. Rejects with FailoverError where no majority granted it.
 */
export async function fenceGroup(options: FenceOptions): Promise<readonly FencedServer[]> {
	const {clock, control, cfg, settings, term} = options;
	const majority = getMajority(cfg);
	const startedAt = clock.now();

	const getGranted = (answers: ReadonlyArray<Gathered<TermAnswer>>) =>
		answers.filter(({endpoint, answer}) => answer.granted && endpoint.name !== options.excluded);

	const isEnough = (answers: ReadonlyArray<Gathered<TermAnswer>>) => {
		const granted = getGranted(answers);
		return granted.length >= majority && (!options.awaited || granted.some(({endpoint}) => endpoint.name === options.awaited));
	};

	const answers = await gatherAnswers({
		clock,
		endpoints: cfg.endpoints,
		ask: async (endpoint: EndpointConfig) => control.fence(endpoint.name, term, settings.fenceMs),
		isEnough,
		stragglerMs: settings.stragglerMs,
		boundMs: settings.fenceMs,
	});

	// A promoter that was paused here would promote on stale answers. The servers' terms keep that safe; stopping avoids
	// a second primary whose writes no majority can confirm.
	if (clock.now() - startedAt > settings.staleFenceMs) {
		throwPaused(term);
	}

	const granted = getGranted(answers);
	if (granted.length < majority) {
		throwFenceFailed(answers, term, granted.length, majority);
	}

	return granted.map(({endpoint, answer}) => ({endpoint, status: answer.status}));
}

function throwFenceFailed(answers: ReadonlyArray<Gathered<TermAnswer>>, term: number, granted: number, majority: number): never {
	const refusals = answers.filter(({answer}) => !answer.granted).map(({answer}) => answer.status.term);
	if (refusals.length > 0) {
		throwTermPassed(term, Math.max(...refusals));
	}

	throwNoMajority('granted the term', granted, majority);
}
