import {EndpointRole, type EndpointStatus} from '../endpoints/endpoint.js';
import {type EndpointConfig, getMajority} from '../groups/group-config.js';
import type {FailoverParts} from './failover-parts.js';
import {FailoverPhase} from './failover-state.js';
import {detectFailure} from './failure-detector.js';
import {gatherAnswers} from './gather-answers.js';
import {ProbeResult} from './probe.js';
import {type Loss, LossKind} from './promote-group.js';
import type {SecondOpinion} from './second-opinion.js';

/** Finds out whether a group lost its primary. */
export type PrimaryWatch = {
	/** Looks once, `pollMs` being how old the last sign of life may be; resolves with a loss only when it is confirmed. */
	findLoss(pollMs: number): Promise<Loss | undefined>;
	/** How long there is nothing to look for, in milliseconds: until the last sign of life will be `pollMs` old. */
	getNapMs(pollMs: number): number;
	/** Notes that traffic found the primary silent at `now`; the next look asks it. */
	suspect(now: number): void;
	/** Notes a term that this host raised without success, which nobody else will bring to a primary. */
	noteOwnTerm(term: number): void;
};

/** What {@link createPrimaryWatch} needs. */
export type PrimaryWatchOptions = Pick<FailoverParts, 'clock' | 'control' | 'knowledge' | 'settings' | 'log' | 'getCfg' | 'setState'> & {
	readonly opinions: SecondOpinion;
	/** Asks a server on a connection of its own. */
	getStatus(address: string, timeoutMs: number): Promise<EndpointStatus>;
	/** When the primary was last seen to be followed, where it is cut off from its group. */
	getCutOffSince(now: number): number | undefined;
};

/** Creates the watch of one group's primary. */
export function createPrimaryWatch(options: PrimaryWatchOptions): PrimaryWatch {
	const {clock, control, knowledge, opinions, settings, log, setState} = options;
	let suspectedAt = -Infinity;
	let ownTerm = 0;
	let contested = false;
	let vacancy: {term: number; at: number; since: number} | undefined;

	const isFresh = (endpoint: EndpointConfig, pollMs: number) => {
		const known = knowledge.get(endpoint.name);
		return known?.status !== undefined && known.failures === 0 && known.seenAt > suspectedAt && clock.now() - known.seenAt < pollMs;
	};

	const isPrimarySince = (term: number) => (status: EndpointStatus) => status.role === EndpointRole.Primary && status.term >= term;

	const investigate = async (primary: EndpointConfig): Promise<Loss | undefined> => {
		const term = knowledge.highestTerm;
		const since = knowledge.get(primary.name)?.seenAt ?? clock.now();
		let opinion: ReturnType<SecondOpinion['ask']> | undefined;

		const kept = new AbortController();
		const result = await detectFailure({
			clock,
			settings,
			headStartMs: settings.headStartMs,
			silenceMs: settings.silenceMs,
			askKept: async ms => control.status(primary.name, ms, kept.signal),
			async askFresh(ms) {
				knowledge.observe(primary.name, await options.getStatus(primary.address, ms), clock.now());
			},
			onDoubt() {
				// Asked at the first doubt, so that the other host's own probing runs beside this one's.
				if (!contested) {
					setState(FailoverPhase.Suspecting, `${primary.name} does not answer`);
				}

				opinion = opinions.ask([primary.address], isPrimarySince(term));
			},
		});

		// Where the fresh connection brought the answer, the kept one went silent and would hold up what comes after.
		kept.abort();
		const failed = result === ProbeResult.Refused || result === ProbeResult.Silent;
		if (!failed || !opinion || knowledge.getPrimary()?.name !== primary.name) {
			contested = false;
			setState(FailoverPhase.Watching, `${primary.name} answers, or another endpoint is primary`);
			return undefined;
		}

		const {confirmed, heard} = await opinion;
		contested = !confirmed;
		if (confirmed) {
			log.warn('lost the primary', {endpoint: primary.name, term, confirmedBy: heard});
			return {
				kind: LossKind.Unreachable, endpoint: primary.name, term, since, confirmedAt: clock.now(),
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
				kind: LossKind.CutOff, endpoint: primary.name, term: knowledge.highestTerm, since: cutOffSince, confirmedAt: clock.now(),
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

		return {
			kind: LossKind.Vacant, term, since, confirmedAt: clock.now(),
		};
	};

	return {
		async findLoss(pollMs) {
			const primary = knowledge.getPrimary();
			return primary ? checkPrimary(primary, pollMs) : checkVacancy();
		},
		// Guards against a nap of a whole period that began when the last sign of life was nearly as old: a loss just after
		// its beginning would be looked for two periods late.
		getNapMs(pollMs) {
			const primary = knowledge.getPrimary();
			const known = primary && knowledge.get(primary.name);
			return known?.failures === 0 ? Math.max(0, known.seenAt + pollMs - clock.now()) : pollMs;
		},
		suspect(now) {
			suspectedAt = now;
		},
		noteOwnTerm(term) {
			ownTerm = term;
		},
	};
}
