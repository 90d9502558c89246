import {EndpointRole, type EndpointStatus} from '../endpoints/endpoint.js';
import {type EndpointConfig, getMajority} from '../groups/group-config.js';
import type {FailoverParts} from './failover-parts.js';
import {FailoverPhase} from './failover-state.js';
import {detectFailure} from './failure-detector.js';
import {gatherAnswers} from './gather-answers.js';
import {ProbeResult} from './probe.js';
import {type PrimaryLoss, LossKind} from './promote-group.js';
import type {ReachabilityReports} from './reachability-reports.js';

/** Detects whether a group lost its primary. */
export type PrimaryWatch = {
	/** Checks once; the primary's last status may be `pollMs` milliseconds old. Resolves with a loss only when it is confirmed. */
	findLoss(pollMs: number): Promise<PrimaryLoss | undefined>;
	/** Returns the time until the next check is due, in milliseconds: when the primary's last status will be `pollMs` old. */
	getPollDelayMs(pollMs: number): number;
	/** Records that traffic found the primary silent at `now`; the next check probes it. */
	suspect(now: number): void;
	/** Records a term that this host raised without promoting a primary at it; no other host will promote one at it either. */
	setOwnTerm(term: number): void;
};

/** Options of {@link createPrimaryWatch}. */
export type PrimaryWatchOptions = Pick<FailoverParts, 'clock' | 'control' | 'knowledge' | 'settings' | 'log' | 'getCfg' | 'setState'> & {
	readonly reachabilityReports: ReachabilityReports;
	/** Requests a server's status on a fresh connection. */
	getStatus(address: string, timeoutMs: number): Promise<EndpointStatus>;
	/** Returns since when no replica has followed the primary where it is cut off from its group, otherwise undefined. */
	getCutOffSince(now: number): number | undefined;
};

/** Creates the watch of one group's primary. */
export function createPrimaryWatch(options: PrimaryWatchOptions): PrimaryWatch {
	const {clock, control, knowledge, reachabilityReports, settings, log, setState} = options;
	let suspectedAt = -Infinity;
	let ownTerm = 0;
	let contested = false;
	let vacancy: {term: number; at: number; since: number} | undefined;

	const isFresh = (endpoint: EndpointConfig, pollMs: number) => {
		const known = knowledge.get(endpoint.name);
		return known?.status !== undefined && known.failures === 0 && known.seenAt > suspectedAt && clock.now() - known.seenAt < pollMs;
	};

	const isPrimarySince = (term: number) => (status: EndpointStatus) => status.role === EndpointRole.Primary && status.term >= term;

	const probePrimary = async (primary: EndpointConfig): Promise<PrimaryLoss | undefined> => {
		const term = knowledge.highestTerm;
		const since = knowledge.get(primary.name)?.seenAt ?? clock.now();
		let report: ReturnType<ReachabilityReports['request']> | undefined;

		const openProbeAbort = new AbortController();
		const result = await detectFailure({
			clock,
			settings,
			freshProbeDelayMs: settings.freshProbeDelayMs,
			silenceMs: settings.silenceMs,
			probeOpen: async ms => control.status(primary.name, ms, openProbeAbort.signal),
			async probeFresh(ms) {
				knowledge.observe(primary.name, await options.getStatus(primary.address, ms), clock.now());
			},
			onDelayed() {
				// Requested at the first delay, so that the other hosts probe the server while this one does.
				if (!contested) {
					setState(FailoverPhase.Suspecting, `${primary.name} does not answer`);
				}

				report = reachabilityReports.request([primary.address], isPrimarySince(term));
			},
		});

		// Where the answer came on the fresh connection, the open one is silent and would delay the exchanges that follow on it.
		openProbeAbort.abort();
		const failed = result === ProbeResult.Refused || result === ProbeResult.Silent;
		if (!failed || !report || knowledge.getPrimary()?.name !== primary.name) {
			contested = false;
			setState(FailoverPhase.Watching, `${primary.name} answers, or another endpoint is primary`);
			return undefined;
		}

		const {confirmed, reporters} = await report;
		contested = !confirmed;
		if (confirmed) {
			log.warn('lost the primary', {endpoint: primary.name, term, confirmedBy: reporters});
			return {
				kind: LossKind.Unreachable, endpoint: primary.name, term, since, confirmedAt: clock.now(),
			};
		}

		const detail = reporters.length > 0 ? `${reporters.join(', ')} still reaches it` : 'no other host could be asked';
		setState(FailoverPhase.Contested, `${primary.name} does not answer here, but ${detail}`);
		await clock.sleep(settings.contestedMs);
		return undefined;
	};

	const checkPrimary = async (primary: EndpointConfig, pollMs: number): Promise<PrimaryLoss | undefined> => {
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

		return probePrimary(primary);
	};

	const recordVacancy = () => {
		const now = clock.now();
		const {highestTerm} = knowledge;
		vacancy ??= {term: highestTerm, at: now, since: now};
		if (vacancy.term !== highestTerm) {
			vacancy = {...vacancy, term: highestTerm, at: now};
		}

		return vacancy;
	};

	const checkVacancy = async (): Promise<PrimaryLoss | undefined> => {
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

		const {term, at, since} = recordVacancy();
		const majority = getMajority(options.getCfg());
		if (answers.length < majority) {
			setState(FailoverPhase.NoMajority, `no primary, and ${answers.length} of ${endpoints.length} servers answer`);
			return undefined;
		}

		// The host that raised the term last is most likely about to promote a server; raising the term again would undo that.
		setState(FailoverPhase.Suspecting, `no server is primary at term ${term}`);
		if (term > 0 && term !== ownTerm && clock.now() - at < settings.vacancyGraceMs) {
			return undefined;
		}

		const unseen = endpoints.filter(({name}) => !answers.some(({endpoint}) => endpoint.name === name));
		if (unseen.length > 0) {
			const {confirmed} = await reachabilityReports.request(unseen.map(({address}) => address), isPrimarySince(term));
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
		// A wait of a whole period that begins when the last status is nearly a period old would check for a loss soon after
		// its start up to two periods late.
		getPollDelayMs(pollMs) {
			const primary = knowledge.getPrimary();
			const known = primary && knowledge.get(primary.name);
			return known?.failures === 0 ? Math.max(0, known.seenAt + pollMs - clock.now()) : pollMs;
		},
		suspect(now) {
			suspectedAt = now;
		},
		setOwnTerm(term) {
			ownTerm = term;
		},
	};
}
