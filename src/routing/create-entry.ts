import {RequestKind, type CallerRequest} from '../callers/caller-request.js';
import type {Entry} from '../callers/entry.js';
import type {VersionedGroup} from '../configuration/configuration.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {Retries} from '../retries/create-retries.js';
import type {AskedRequest, Asker} from './asked-request.js';
import type {EntryAnswers} from './entry-answers.js';
import {judgeAge} from './entry-refusals.js';
import type {OwnerClient} from './owner-client.js';
import type {RequestTries} from './request-tries.js';
import {getFloor} from './session-floor.js';
import {getStatementDigest} from './statement-digest.js';
import type {OwnerTry, TriesEnd} from './try-owners.js';

/** What the entry is made from. */
export type EntryOptions = {
	readonly asker: Asker;
	readonly answers: EntryAnswers;
	readonly tries: RequestTries;
	readonly ownerClient: OwnerClient;
	readonly retries: Retries;
};

/** The part of a deadline kept back to settle what an unsure try left, in milliseconds, and its share of the deadline. */
const SETTLE_MS = 500;
const SETTLE_SHARE = 0.25;

/** Time a question for an outcome may take, in milliseconds. */
const OUTCOME_DEADLINE_MS = 5000;

/** Creates the entry's way for single requests; transactions have their own. */
export function createEntry(options: EntryOptions): Pick<Entry, 'execute' | 'resolveOutcome'> {
	const {
		asker, answers, tries, ownerClient, retries,
	} = options;

	const runTries = async (asked: AskedRequest, group: VersionedGroup, req: CallerRequest): Promise<TriesEnd> => {
		const isWrite = req.kind === RequestKind.Write;
		const digest = isWrite ? getStatementDigest(req.statement, req.values) : '';
		const floor = req.latest ? undefined : getFloor(asked.session, asked.group);
		const keptBackMs = isWrite ? Math.min(SETTLE_MS, req.deadlineMs * SETTLE_SHARE) : 0;
		const attempt: OwnerTry = async (host, turn) => ownerClient.call(host, 'execute', {
			group: asked.group,
			requestId: asked.requestId,
			kind: req.kind,
			statement: req.statement,
			values: req.values,
			digest,
			floor,
			maxAgeMs: req.maxAgeMs ?? group.cfg.readAgeLimitMs,
			class: req.class,
			...turn,
			configVersion: group.version,
		});
		const end = await tries.tryFor(asked, group, asked.deadlineAt - keptBackMs, attempt);
		const isOpen = end.unsure || (asked.mayBeRepeat && end.answer.refusal?.code === RefusalCode.StatementFailed);
		return isWrite && isOpen ? tries.settleUnsure(asked, group, end, attempt) : end;
	};

	return {
		async execute(name, req, header) {
			const asking = asker.ask(name, header, {...req, asked: req.kind});
			const {asked} = asking;
			const judgement = asker.judge(asking);
			const refusal = 'refusal' in judgement ? judgement.refusal : judgeAge(req, judgement.group);
			if ('refusal' in judgement || refusal) {
				return answers.refuse(asked, refusal!);
			}

			retries.noteFresh(name, asked.startedAt);
			return answers.answer(asked, await runTries(asked, judgement.group, req));
		},
		async resolveOutcome(name, requestId, header) {
			const asking = asker.ask(name, header, {
				asked: 'outcome', requestId, class: 'deadline', deadlineMs: OUTCOME_DEADLINE_MS, attempt: 2,
			});
			const {asked} = asking;
			const judgement = asker.judge(asking);
			if ('refusal' in judgement) {
				return answers.leaveOpen(asked, judgement.refusal);
			}

			const end = await tries.settle(asked, judgement.group, asked.deadlineAt);
			const settled = end.answer.refusal?.code === RefusalCode.Resolved;
			return answers.answer(asked, settled ? end : {...end, unsure: true});
		},
	};
}
