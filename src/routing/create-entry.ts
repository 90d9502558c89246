import {Outcome, type CallerAnswer} from '../callers/caller-answer.js';
import {RequestKind, type CallerRequest} from '../callers/caller-request.js';
import type {Entry} from '../callers/entry.js';
import type {Configuration, VersionedGroup} from '../configuration/configuration.js';
import type {Explanations} from '../explanations/explanations.js';
import type {Hosts, Owning} from '../membership/hosts.js';
import {createRequestId, getRequestIdTime} from '../random/request-id.js';
import type {Random} from '../random/random.js';
import {RefusalCode, type Refusal} from '../refusals/refusal.js';
import type {RetryBudgets} from '../retries/retry-budgets.js';
import type {Session, Sessions} from '../sessions/session.js';
import type {Clock} from '../time/clock.js';
import {
	judgeAge, judgeRequestId, refuseBadToken, refuseUnknownGroup,
} from './entry-refusals.js';
import type {OwnerClient} from './owner-client.js';
import type {OwnerAnswer} from './owner-request.js';
import {getFloor, raiseFloor, readSessionHeader} from './session-floor.js';
import {getStatementDigest} from './statement-digest.js';
import {tryOwners, type OwnerTry, type TriesEnd} from './try-owners.js';

/** What the entry is made from. */
export type EntryOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly configuration: Configuration;
	readonly hosts: Hosts;
	readonly owning: Owning;
	readonly ownerClient: OwnerClient;
	readonly sessions: Sessions;
	readonly explanations: Explanations;
	readonly retryBudgets: RetryBudgets;
	/** Told of every retry, for metrics. */
	onRetry?(answer: OwnerAnswer): void;
	/** Told of every answer, for metrics and operators. */
	onAnswer?(asked: AskedRequest, answer: CallerAnswer, now: number): void;
};

/** A request as the entry sees it, for records. Never its statement or values. */
export type AskedRequest = {
	readonly group: string;
	readonly requestId: string;
	/** `read`, `write`, `outcome`, `begin`, … */
	readonly asked: string;
	readonly class: string;
	readonly session: Session;
	readonly configVersion: number;
	readonly startedAt: number;
	readonly deadlineAt: number;
	/** True where the same request id may have been submitted before. */
	readonly mayBeRepeat: boolean;
};

type AskedParts = Pick<AskedRequest, 'asked' | 'class'> & Pick<CallerRequest, 'requestId' | 'deadlineMs' | 'attempt'>;

type Asking = {
	readonly asked: AskedRequest;
	readonly group: VersionedGroup | undefined;
	/** True where the session header was not signed by this system. */
	readonly bad: boolean;
};

type Judgement = {readonly group: VersionedGroup} | {readonly refusal: Refusal};

/** The part of a deadline kept back to settle what an unsure try left, in milliseconds, and its share of the deadline. */
const SETTLE_MS = 500;
const SETTLE_SHARE = 0.25;

/** Refusals that hold for every submission of the id: a tombstone or another statement stands under the key. */
const SETTLED_CODES: ReadonlySet<RefusalCode> = new Set([RefusalCode.Resolved, RefusalCode.RequestMismatch]);

/** A caller's id whose time is further than this from now may have been submitted before, in milliseconds. */
const FRESH_ID_MS = 250;

/** Time a question for an outcome may take, in milliseconds. */
const OUTCOME_DEADLINE_MS = 5000;

/** Creates the entry's way for single requests; transactions have their own. */
export function createEntry(options: EntryOptions): Omit<Entry, 'begin' | 'run' | 'commit' | 'rollback'> {
	const {
		clock, random, configuration, sessions, explanations, hosts, owning, ownerClient,
	} = options;

	const answerRefusal = (asked: AskedRequest, outcome: Outcome, refusal: Refusal): CallerAnswer => {
		const ticket = explanations.record({
			...refusal,
			requestId: asked.requestId,
			group: asked.group,
			asked: asked.asked,
			class: asked.class,
			sessionId: asked.session.id,
			outcome,
			host: hosts.self.name,
			at: clock.wall(),
			configVersion: asked.configVersion,
		});
		const {code, reason, retryAfterMs} = refusal;
		return {
			outcome,
			requestId: asked.requestId,
			session: sessions.sign(asked.session),
			refusal: {
				code, reason, retryAfterMs, ticket,
			},
		};
	};

	const answerDone = (asked: AskedRequest, answer: OwnerAnswer): CallerAnswer => {
		const isWrite = asked.asked !== RequestKind.Read;
		const session = isWrite && answer.log ? raiseFloor(asked.session, asked.group, answer.log, clock.wall()) : asked.session;
		return {
			outcome: Outcome.Done,
			requestId: asked.requestId,
			rows: answer.rows,
			servedBy: answer.servedBy,
			term: answer.log?.term,
			position: answer.log?.position,
			ageMs: answer.ageMs,
			session: sessions.sign(session),
		};
	};

	/**
	 * What a refusal of this submission may say of the request.
	 *
	 * Guards against a false "not run" to a caller that sends an id again after its first submission brought no
	 * answer: this one did not run, but the other still may. Such a caller is told so, and sends the same id again.
	 */
	const getRefusedOutcome = (asked: AskedRequest, refusal: Refusal) =>
		asked.mayBeRepeat && !SETTLED_CODES.has(refusal.code) ? Outcome.Unknown : Outcome.NotRun;

	const answerEnd = (asked: AskedRequest, {answer, unsure}: TriesEnd): CallerAnswer => {
		if (answer.outcome === Outcome.Done) {
			return answerDone(asked, answer);
		}

		const refusal = answer.refusal!;
		const outcome = unsure || answer.outcome === Outcome.Unknown ? Outcome.Unknown : getRefusedOutcome(asked, refusal);
		return answerRefusal(asked, outcome, refusal);
	};

	const finish = (asked: AskedRequest, answer: CallerAnswer) => {
		options.onAnswer?.(asked, answer, clock.now());
		return answer;
	};

	const tryFor = async (asked: AskedRequest, group: VersionedGroup, deadlineAt: number, attempt: OwnerTry) => tryOwners({
		clock,
		random,
		owning,
		group: asked.group,
		owners: group.cfg.owners,
		preferred: hosts.self.name,
		deadlineAt,
		isRead: asked.asked === RequestKind.Read,
		budget: options.retryBudgets.getBudget(asked.group, clock.now()),
		onRetry: options.onRetry,
	}, attempt);

	// Guards against a false "not run" and against a caller left unsure: an earlier try that brought no answer may
	// still be on its way to the primary. The tombstone keeps it from ever running, and only then is it said.
	const settle = async (asked: AskedRequest, group: VersionedGroup, deadlineAt: number): Promise<TriesEnd> => {
		const attempt: OwnerTry = async (host, remainingMs) => ownerClient.call(host, 'resolve', {
			group: asked.group, requestId: asked.requestId, remainingMs, configVersion: group.version,
		});
		return tryFor(asked, group, deadlineAt, attempt);
	};

	const settleUnsure = async (asked: AskedRequest, group: VersionedGroup, end: TriesEnd): Promise<TriesEnd> => {
		const settled = await settle(asked, group, asked.deadlineAt);
		if (settled.answer.outcome === Outcome.Done) {
			return settled;
		}

		const isTombstone = settled.answer.refusal?.code === RefusalCode.Resolved && !settled.unsure;
		return isTombstone
			? {answer: {...end.answer, outcome: Outcome.NotRun}, tries: end.tries, unsure: false}
			: {...end, unsure: true};
	};

	const runTries = async (asked: AskedRequest, group: VersionedGroup, req: CallerRequest): Promise<TriesEnd> => {
		const isWrite = req.kind === RequestKind.Write;
		const digest = isWrite ? getStatementDigest(req.statement, req.values) : '';
		const floor = req.latest ? undefined : getFloor(asked.session, asked.group);
		const keptBackMs = isWrite ? Math.min(SETTLE_MS, req.deadlineMs * SETTLE_SHARE) : 0;
		const end = await tryFor(asked, group, asked.deadlineAt - keptBackMs, async (host, remainingMs) => ownerClient.call(host, 'execute', {
			group: asked.group,
			requestId: asked.requestId,
			kind: req.kind,
			statement: req.statement,
			values: req.values,
			digest,
			floor,
			maxAgeMs: req.maxAgeMs ?? group.cfg.readAgeLimitMs,
			class: req.class,
			remainingMs,
			configVersion: group.version,
		}));
		const isOpen = end.unsure || (asked.mayBeRepeat && end.answer.refusal?.code === RefusalCode.StatementFailed);
		return isWrite && isOpen ? settleUnsure(asked, group, end) : end;
	};

	const isFresh = (requestId: string | undefined, wallMs: number) =>
		requestId === undefined || Math.abs((getRequestIdTime(requestId) ?? 0) - wallMs) <= FRESH_ID_MS;

	const ask = (name: string, header: string | undefined, parts: AskedParts): Asking => {
		const wallMs = clock.wall();
		const startedAt = clock.now();
		const group = configuration.getGroup(name);
		const read = readSessionHeader(header, sessions, wallMs);
		const asked: AskedRequest = {
			group: name,
			requestId: parts.requestId ?? createRequestId(wallMs, random),
			asked: parts.asked,
			class: parts.class,
			session: read.session,
			configVersion: group?.version ?? 0,
			startedAt,
			deadlineAt: startedAt + parts.deadlineMs,
			mayBeRepeat: parts.asked !== RequestKind.Read && (parts.attempt > 1 || !isFresh(parts.requestId, wallMs)),
		};
		return {asked, group, bad: read.kind === 'bad'};
	};

	const judge = ({asked, group, bad}: Asking): Judgement => {
		if (bad) {
			return {refusal: refuseBadToken()};
		}

		if (!group) {
			return {refusal: refuseUnknownGroup(asked.group, configuration)};
		}

		const refusal = judgeRequestId(asked.requestId, group, clock.wall());
		return refusal ? {refusal} : {group};
	};

	return {
		async execute(name, req, header) {
			const asking = ask(name, header, {...req, asked: req.kind});
			const {asked} = asking;
			const judgement = judge(asking);
			const refusal = 'refusal' in judgement ? judgement.refusal : judgeAge(req, judgement.group);
			if ('refusal' in judgement || refusal) {
				return finish(asked, answerRefusal(asked, getRefusedOutcome(asked, refusal!), refusal!));
			}

			options.retryBudgets.getBudget(name, asked.startedAt).noteFresh(asked.startedAt);
			return finish(asked, answerEnd(asked, await runTries(asked, judgement.group, req)));
		},
		async resolveOutcome(name, requestId, header) {
			const asking = ask(name, header, {
				asked: 'outcome', requestId, class: 'deadline', deadlineMs: OUTCOME_DEADLINE_MS, attempt: 2,
			});
			const {asked} = asking;
			const judgement = judge(asking);
			if ('refusal' in judgement) {
				return finish(asked, answerRefusal(asked, Outcome.Unknown, judgement.refusal));
			}

			const end = await settle(asked, judgement.group, asked.deadlineAt);
			const settled = end.answer.refusal?.code === RefusalCode.Resolved;
			return finish(asked, answerEnd(asked, settled ? end : {...end, unsure: true}));
		},
	};
}
