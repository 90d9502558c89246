import {EndpointRole, type EndpointStatus} from '../endpoints/endpoint.js';
import {type EndpointConfig, getMajority} from '../groups/group-config.js';
import type {FailoverParts} from './failover-parts.js';
import {FailoverPhase} from './failover-state.js';
import {createFailureDetector, Health} from './failure-detector.js';
import {gatherAnswers} from './gather-answers.js';
import {probe, ProbeResult} from './probe.js';
import {type Loss, LossKind} from './promote-group.js';
import type {SecondOpinion} from './second-opinion.js';

/** Finds out whether a group lost its primary. */
export type PrimaryWatch = {
	/** Looks once, `pollMs` being how old the last sign of life may be; resolves with a loss only when it is confirmed. */
	findLoss(pollMs: number): Promise<Loss | undefined>;
	/** Notes that traffic found the primary silent at `now`; the next look asks it. */
	suspect(now: number): void;
	/** Notes a term that this host raised without success, which nobody else will bring to a primary. */
	noteOwnTerm(term: number): void;
};

/** What {@link createPrimaryWatch} needs. */
export type PrimaryWatchOptions = Pick<FailoverParts, 'clock' | 'control' | 'knowledge' | 'settings' | 'log' | 'getCfg' | 'setState'> & {
	readonly opinions: SecondOpinion;
	/** When the primary was last seen to be followed, where it is cut off from its group. */
	getCutOffSince(now: number): number | undefined;
};

/** Creates the watch of one group's primary. */
export function createPrimaryWatch(options: PrimaryWatchOptions): PrimaryWatch {
	const {clock, control, knowledge, opinions, settings, log, setState} = options;
	let suspectedAt = -Infinity;
	let ownTerm = 0;
	let vacancy: {term: number; at: number; since: number} | undefined;

	const isFresh = (endpoint: EndpointConfig, pollMs: number) => {
		const known = knowledge.get(endpoint.name);
		return known?.status !== undefined && known.failures === 0 && known.seenAt > suspectedAt && clock.now() - known.seenAt < pollMs;
	};

	const probePrimary = async (endpoint: EndpointConfig) => probe({
		clock,
		timeoutMs: settings.probeMs,
		pauseSlackMs: settings.pauseSlackMs,
		exchange: async ms => control.status(endpoint.name, ms),
	});

	const isPrimarySince = (term: number) => (status: EndpointStatus) => status.role === EndpointRole.Primary && status.term >= term;

	const investigate = async (primary: EndpointConfig): Promise<Loss | undefined> => {
		const detector = createFailureDetector(settings);
		const term = knowledge.highestTerm;
		const since = knowledge.get(primary.name)?.seenAt ?? clock.now();
		let opinion: ReturnType<SecondOpinion['ask']> | undefined;

		for (;;) {
			const startedAt = clock.now();
			const result = await probePrimary(primary);
			detector.note(result, startedAt);
			const health = detector.getHealth(clock.now());
			if (health === Health.Healthy || knowledge.getPrimary()?.name !== primary.name) {
				setState(FailoverPhase.Watching, `${primary.name} answers, or another endpoint is primary`);
				return undefined;
			}

			// Asked at the first failure, so that the other host's own probing runs beside this one's.
			setState(FailoverPhase.Suspecting, `${primary.name} does not answer`);
			opinion ??= opinions.ask([primary.address], isPrimarySince(term));
			if (health === Health.Suspect) {
				break;
			}

			if (result === ProbeResult.Refused) {
				await clock.sleep(settings.probeRetryMs);
			}
		}

		const {confirmed, heard} = await opinion;
		if (confirmed) {
			log.warn('lost the primary', {endpoint: primary.name, term, confirmedBy: heard});
			return {
				kind: LossKind.Unreachable, endpoint: primary.name, term, since,
			};
		}

		const why = heard.length > 0 ? `${heard.join(', ')} still reaches it` : 'no other host could be asked';
		setState(FailoverPhase.Contested, `${primary.name} does not answer here, but ${why}`);
		await clock.sleep(settings.contestedMs);
		return undefined;
	};

	const checkPrimary = async (primary: EndpointConfig, pollMs: number): Promise<Loss | undefined> => {
		vacancy = undefined;
		const cutOffSince = options.getCutOffSince(clock.now());
		if (cutOffSince !== undefined) {
			log.warn('found the primary cut off from its group', {endpoint: primary.name, term: knowledge.highestTerm});
			return {
				kind: LossKind.CutOff, endpoint: primary.name, term: knowledge.highestTerm, since: cutOffSince,
			};
		}

		if (isFresh(primary, pollMs)) {
			return undefined;
		}

		return investigate(primary);
	};

	const noteVacancy = () => {
		const now = clock.now();
		const {highestTerm} = knowledge;
		vacancy ??= {term: highestTerm, at: now, since: now};
		if (vacancy.term !== highestTerm) {
			vacancy = {...vacancy, term: highestTerm, at: now};
		}

		return vacancy;
	};

	const checkVacancy = async (): Promise<Loss | undefined> => {
		const {endpoints} = options.getCfg();
		const answers = await gatherAnswers({
			clock,
			endpoints,
			ask: async ({name}) => control.status(name, settings.surveyMs),
			isEnough: () => false,
			stragglerMs: 0,
			boundMs: settings.surveyMs,
		});
		if (knowledge.getPrimary()) {
			return undefined;
		}

		const {term, at, since} = noteVacancy();
		const majority = getMajority(options.getCfg());
		if (answers.length < majority) {
			setState(FailoverPhase.NoMajority, `no primary, and ${answers.length} of ${endpoints.length} servers answer`);
			return undefined;
		}

		// Whoever raised the term last is most likely about to promote a server; raising it again would undo that.
		setState(FailoverPhase.Suspecting, `no server is primary at term ${term}`);
		if (term > 0 && term !== ownTerm && clock.now() - at < settings.vacancyGraceMs) {
			return undefined;
		}

		const unseen = endpoints.filter(({name}) => !answers.some(({endpoint}) => endpoint.name === name));
		if (unseen.length > 0) {
			const {confirmed} = await opinions.ask(unseen.map(({address}) => address), isPrimarySince(term));
			if (!confirmed) {
				setState(FailoverPhase.Contested, 'another host sees a primary, or none could be asked');
				return undefined;
			}
		}

		return {kind: LossKind.Vacant, term, since};
	};

	return {
		async findLoss(pollMs) {
			const primary = knowledge.getPrimary();
			return primary ? checkPrimary(primary, pollMs) : checkVacancy();
		},
		suspect(now) {
			suspectedAt = now;
		},
		noteOwnTerm(term) {
			ownTerm = term;
		},
	};
}
