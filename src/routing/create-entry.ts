import {RequestKind, type CallerRequest} from '../callers/caller-request.js';
import type {Entry} from '../callers/entry.js';
import type {VersionedGroup} from '../configuration/configuration.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {Retries} from '../retries/create-retries.js';
import type {ReceivedRequest, RequestReceiver} from './received-request.js';
import type {EntryAnswers} from './entry-answers.js';
import {validateReadAge} from './entry-refusals.js';
import type {OwnerClient} from './owner-client.js';
import type {RequestTries} from './request-tries.js';
import {getFloor} from './session-floor.js';
import {getStatementDigest} from './statement-digest.js';
import type {OwnerTry, TriesResult} from './try-owners.js';

/** Options of {@link createEntry}. */
export type EntryOptions = {
	readonly receiver: RequestReceiver;
	readonly answers: EntryAnswers;
	readonly tries: RequestTries;
	readonly ownerClient: OwnerClient;
	readonly retries: Retries;
};

/** Time of a write's deadline that is reserved to resolve an unknown outcome: at most this many milliseconds, and at most this fraction of the deadline. */
const MAX_RESOLVE_RESERVE_MS = 500;
const RESOLVE_RESERVE_FRACTION = 0.25;

/** Deadline of a request for an outcome, in milliseconds. */
const OUTCOME_DEADLINE_MS = 5000;

/** Creates the part of the entry that handles single requests; transactions are handled separately. */
export function createEntry(options: EntryOptions): Pick<Entry, 'execute' | 'resolveOutcome'> {
	const {
		receiver, answers, tries, ownerClient, retries,
	} = options;

	const runTries = async (received: ReceivedRequest, group: VersionedGroup, req: CallerRequest): Promise<TriesResult> => {
		const isWrite = req.kind === RequestKind.Write;
		const digest = isWrite ? getStatementDigest(req.statement, req.values) : '';
		const floor = req.latest ? undefined : getFloor(received.session, received.group);
		const reservedMs = isWrite ? Math.min(MAX_RESOLVE_RESERVE_MS, req.deadlineMs * RESOLVE_RESERVE_FRACTION) : 0;
		const attempt: OwnerTry = async (host, parameters) => ownerClient.call(host, 'execute', {
			group: received.group,
			requestId: received.requestId,
			kind: req.kind,
			statement: req.statement,
			values: req.values,
			digest,
			floor,
			maxAgeMs: req.maxAgeMs ?? group.cfg.readAgeLimitMs,
			class: req.class,
			...parameters,
			configVersion: group.version,
		});
		const result = await tries.sendToOwners(received, group, received.deadlineAt - reservedMs, attempt);
		const isUnresolved = result.outcomeUnknown || (received.mayBeRepeat && result.answer.refusal?.code === RefusalCode.StatementFailed);
		return isWrite && isUnresolved ? tries.resolveUnknown(received, group, result, attempt) : result;
	};

	return {
		async execute(name, req, header) {
			const unvalidated = receiver.receive(name, header, {...req, asked: req.kind});
			const {asked: received} = unvalidated;
			const validation = receiver.validate(unvalidated);
			const refusal = 'refusal' in validation ? validation.refusal : validateReadAge(req, validation.group);
			if ('refusal' in validation || refusal) {
				return answers.refuse(received, refusal!);
			}

			retries.noteFresh(name, received.startedAt);
			return answers.answer(received, await runTries(received, validation.group, req));
		},
		async resolveOutcome(name, requestId, header) {
			const unvalidated = receiver.receive(name, header, {
				asked: 'outcome', requestId, class: 'deadline', deadlineMs: OUTCOME_DEADLINE_MS, attempt: 2,
			});
			const {asked: received} = unvalidated;
			const validation = receiver.validate(unvalidated);
			if ('refusal' in validation) {
				return answers.refuseWithUnknownOutcome(received, validation.refusal);
			}

			const result = await tries.resolve(received, validation.group, received.deadlineAt);
			const isResolved = result.answer.refusal?.code === RefusalCode.Resolved;
			return answers.answer(received, isResolved ? result : {...result, outcomeUnknown: true});
		},
	};
}
