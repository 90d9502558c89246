import {EndpointRole, type EndpointStatus} from '../endpoints/endpoint.js';
import {getMajority, type GroupConfig} from '../groups/group-config.js';
import type {GroupKnowledge} from '../groups/group-knowledge.js';
import type {Clock} from '../time/clock.js';
import {throwNoMajority, throwPrimaryExists} from './failover-errors.js';
import type {FailoverSettings} from './failover-settings.js';
import {gatherAnswers, type Gathered} from './gather-answers.js';
import type {GroupControl} from './group-control.js';
import {type PromotedPrimary, fenceAndPromote} from './fence-and-promote.js';
import type {TermClaim} from './term-claim.js';

/** Why a group needs another primary. */
export const LossKind = {
	/** Neither this host nor those that it asked reach the primary. */
	Unreachable: 'unreachable',
	/** No server shows itself primary at the highest term. */
	Vacant: 'vacant',
	/** The primary answers, but its entries reach no majority of its group. */
	CutOff: 'cut-off',
} as const;

/** One of the kinds in {@link LossKind}. */
export type LossKind = typeof LossKind[keyof typeof LossKind];

/** A detected loss of the primary. */
export type PrimaryLoss = {
	readonly kind: LossKind;
	/** The endpoint lost; absent for `vacant`. */
	readonly endpoint?: string;
	/** The highest term seen when the loss was detected. */
	readonly term: number;
	/** When the group was last known to be healthy, on the clock's `now`. */
	readonly since: number;
	/** When the loss was confirmed, on the clock's `now`. */
	readonly confirmedAt: number;
};

/** Durations of the steps of a failover, during which no write could succeed, in milliseconds. */
export type FailoverDurations = {
	/** From the time when the group was last known to be healthy to the decision to promote. */
	readonly detectMs: number;
	/** Collecting the servers' statuses and claiming the term. */
	readonly claimMs: number;
	readonly fenceMs: number;
	readonly promoteMs: number;
	/** Until a majority held the new primary's first entry. */
	readonly learnMs: number;
};

/** Options of {@link promoteGroup}. */
export type PromoteOptions = {
	readonly clock: Clock;
	readonly control: GroupControl;
	readonly knowledge: GroupKnowledge;
	readonly claim: TermClaim;
	readonly cfg: GroupConfig;
	readonly settings: FailoverSettings;
	readonly loss: PrimaryLoss;
	isHostLeaving(address: string): boolean;
};

/** Makes one attempt to promote a new primary; rejects with FailoverError where it fails. */
export async function promoteGroup(options: PromoteOptions): Promise<PromotedPrimary & {stepDurations: FailoverDurations}> {
	const {clock, knowledge, claim, settings, loss} = options;
	const startedAt = clock.now();

	const [answers, reading] = await Promise.all([surveyGroup(options), claim.read(settings.claimMs)]);
	checkSurvey(options, answers);
	const timeLeftMs = startedAt + settings.claimMs - clock.now();
	const term = await claim.claim(reading, knowledge.highestTerm + 1, timeLeftMs);
	const claimedAt = clock.now();

	const promoted = await fenceAndPromote({
		...options,
		term,
		suspect: loss.endpoint,
		excluded: loss.kind === LossKind.CutOff ? loss.endpoint : undefined,
	});

	const {fenceMs, promoteMs, learnMs} = promoted;
	const stepDurations = {
		detectMs: startedAt - loss.since, claimMs: claimedAt - startedAt, fenceMs, promoteMs, learnMs,
	};
	return {...promoted, stepDurations};
}

/**
 * Requests the status of all servers before any of them is fenced.
 *
 * Without this a host on the minority side of a partition would repeatedly raise terms that it cannot use, and each
 * one detaches a replica from the primary until the next promotion.
 */
async function surveyGroup(options: PromoteOptions): Promise<ReadonlyArray<Gathered<EndpointStatus>>> {
	const {clock, control, cfg, settings, loss} = options;
	const endpoints = cfg.endpoints.filter(({name}) => loss.kind !== LossKind.CutOff || name !== loss.endpoint);
	// Two attempts: the first may use a control connection that is silent although the server is healthy.
	const attemptMs = settings.surveyMs / 2;
	// A suspicion that was not confirmed just now may be out of date: then the survey waits up to its whole time for the suspect.
	const isRecent = loss.kind !== LossKind.Unreachable || clock.now() - loss.confirmedAt <= settings.surveyStragglerMs;

	return gatherAnswers({
		clock,
		endpoints,
		ask: async ({name}) => control.status(name, attemptMs).catch(async () => control.status(name, attemptMs)),
		isEnough: gathered => gathered.length >= getMajority(cfg) && (isRecent || gathered.some(({endpoint}) => endpoint.name === loss.endpoint)),
		stragglerMs: settings.surveyStragglerMs,
		boundMs: settings.surveyMs,
	});
}

function checkSurvey(options: PromoteOptions, answers: ReadonlyArray<Gathered<EndpointStatus>>): void {
	// Another host may have promoted a primary while the survey waited for the suspect; the servers' answers are from before
	// that. Without this check it was deposed at once: two promotions 200 ms apart, the second one stopping writes again.
	const promoted = options.knowledge.getPrimary();
	if (promoted && options.knowledge.highestTerm > options.loss.term) {
		throwPrimaryExists(promoted.name);
	}

	const primary = answers.find(({answer}) => answer.role === EndpointRole.Primary && answer.term >= options.knowledge.highestTerm);
	if (primary) {
		throwPrimaryExists(primary.endpoint.name);
	}

	const majority = getMajority(options.cfg);
	if (answers.length < majority) {
		throwNoMajority('answered', answers.length, majority);
	}
}
