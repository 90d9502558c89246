import {EndpointRole, type EndpointStatus} from '../endpoints/endpoint.js';
import {getMajority, type GroupConfig} from '../groups/group-config.js';
import type {GroupKnowledge} from '../groups/group-knowledge.js';
import type {Clock} from '../time/clock.js';
import {throwNoMajority, throwPrimaryStands} from './failover-errors.js';
import type {FailoverSettings} from './failover-settings.js';
import {gatherAnswers, type Gathered} from './gather-answers.js';
import type {GroupControl} from './group-control.js';
import {type RaisedPrimary, raisePrimary} from './raise-primary.js';
import type {TermClaim} from './term-claim.js';

/** Why a group needs another primary. */
export const LossKind = {
	/** Neither this host nor another reaches the primary. */
	Unreachable: 'unreachable',
	/** No server shows itself primary at the highest term. */
	Vacant: 'vacant',
	/** The primary answers, but its entries reach no majority of its group. */
	CutOff: 'cut-off',
} as const;

/** One of the kinds in {@link LossKind}. */
export type LossKind = typeof LossKind[keyof typeof LossKind];

/** A loss of the primary as it was detected. */
export type Loss = {
	readonly kind: LossKind;
	/** The endpoint lost; absent for `vacant`. */
	readonly endpoint?: string;
	/** The highest term seen then. */
	readonly term: number;
	/** When all was last well, on the clock's `now`. */
	readonly since: number;
	/** When it was confirmed. */
	readonly confirmedAt: number;
};

/** The parts of the gap during which no write could land, in milliseconds. */
export type GapParts = {
	/** From the last sign that all was well to the decision to promote. */
	readonly detectMs: number;
	/** Surveying the group and claiming the term. */
	readonly claimMs: number;
	readonly fenceMs: number;
	readonly promoteMs: number;
	/** Until a majority held the new primary's first entry. */
	readonly learnMs: number;
};

/** What {@link promoteGroup} needs. */
export type PromoteOptions = {
	readonly clock: Clock;
	readonly control: GroupControl;
	readonly knowledge: GroupKnowledge;
	readonly claim: TermClaim;
	readonly cfg: GroupConfig;
	readonly settings: FailoverSettings;
	readonly loss: Loss;
	isHostLeaving(address: string): boolean;
};

/** One attempt to give the group a new primary; rejects with FailoverError where it does not come about. */
export async function promoteGroup(options: PromoteOptions): Promise<RaisedPrimary & {parts: GapParts}> {
	const {clock, knowledge, claim, settings, loss} = options;
	const startedAt = clock.now();

	const [answers, reading] = await Promise.all([surveyGroup(options), claim.read(settings.claimMs)]);
	checkSurvey(options, answers);
	const timeLeftMs = startedAt + settings.claimMs - clock.now();
	const term = await claim.claim(reading, knowledge.highestTerm + 1, timeLeftMs);
	const claimedAt = clock.now();

	const raised = await raisePrimary({
		...options,
		term,
		suspect: loss.endpoint,
		excluded: loss.kind === LossKind.CutOff ? loss.endpoint : undefined,
	});

	const {fenceMs, promoteMs, learnMs} = raised;
	const parts = {
		detectMs: startedAt - loss.since, claimMs: claimedAt - startedAt, fenceMs, promoteMs, learnMs,
	};
	return {...raised, parts};
}

/**
 * Asks all servers for their status before any of them is fenced.
 *
 * Without it a host on the smaller side of a partition would raise terms that it cannot use, over and over, and each
 * raise takes a replica away from the primary until the next promotion.
 */
async function surveyGroup(options: PromoteOptions): Promise<ReadonlyArray<Gathered<EndpointStatus>>> {
	const {clock, control, cfg, settings, loss} = options;
	const endpoints = cfg.endpoints.filter(({name}) => loss.kind !== LossKind.CutOff || name !== loss.endpoint);
	// Two tries: the first may meet a control connection that went silent on its own.
	const tryMs = settings.surveyMs / 2;
	// A suspicion of some time ago may be out of date: then the suspect gets the whole time to show itself.
	const isRecent = loss.kind !== LossKind.Unreachable || clock.now() - loss.confirmedAt <= settings.surveyStragglerMs;

	return gatherAnswers({
		clock,
		endpoints,
		ask: async ({name}) => control.status(name, tryMs).catch(async () => control.status(name, tryMs)),
		isEnough: gathered => gathered.length >= getMajority(cfg) && (isRecent || gathered.some(({endpoint}) => endpoint.name === loss.endpoint)),
		stragglerMs: settings.surveyStragglerMs,
		boundMs: settings.surveyMs,
	});
}

function checkSurvey(options: PromoteOptions, answers: ReadonlyArray<Gathered<EndpointStatus>>): void {
	// Guards against deposing a primary that another host raised while the suspect was awaited: the servers' answers are
	// from before it. It showed as two promotions 200 ms apart, the second one holding up filings again.
	const raised = options.knowledge.getPrimary();
	if (raised && options.knowledge.highestTerm > options.loss.term) {
		throwPrimaryStands(raised.name);
	}

	const primary = answers.find(({answer}) => answer.role === EndpointRole.Primary && answer.term >= options.knowledge.highestTerm);
	if (primary) {
		throwPrimaryStands(primary.endpoint.name);
	}

	const majority = getMajority(options.cfg);
	if (answers.length < majority) {
		throwNoMajority('answered', answers.length, majority);
	}
}
