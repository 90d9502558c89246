import {Outcome, type CallerResponse} from '../callers/caller-response.js';
import {DEFAULT_DEADLINE_MS} from '../callers/caller-request.js';
import type {Entry} from '../callers/entry.js';
import type {VersionedGroup} from '../configuration/configuration.js';
import type {Hosts} from '../membership/hosts.js';
import {RefusalCode, type Refusal} from '../refusals/refusal.js';
import type {ReceivedRequest, RequestReceiver} from '../routing/received-request.js';
import type {EntryAnswers} from '../routing/entry-answers.js';
import type {OwnerClient} from '../routing/owner-client.js';
import type {OwnerResponse} from '../routing/owner-request.js';
import type {RequestTries} from '../routing/request-tries.js';
import type {TriesResult} from '../routing/try-owners.js';
import {formatTransactionId, parseTransactionId, type TransactionId} from './transaction-id.js';

/** Options of {@link createTransactionEntry}. */
export type TransactionEntryOptions = {
	readonly requestReceiver: RequestReceiver;
	readonly answers: EntryAnswers;
	readonly tries: RequestTries;
	readonly ownerClient: OwnerClient;
	readonly hosts: Hosts;
};

type Step = {
	readonly request: ReceivedRequest;
	readonly group: VersionedGroup;
	readonly id: TransactionId;
};

type StepOptions = Pick<ReceivedRequest, 'asked' | 'class'> & {readonly deadlineMs: number};

/** Creates the entry's handling of transactions; each step is sent to the host named in the transaction's id. */
export function createTransactionEntry(options: TransactionEntryOptions): Pick<Entry, 'begin' | 'run' | 'commit' | 'rollback'> {
	const {
		requestReceiver: receiver, answers, tries, ownerClient, hosts,
	} = options;

	const refuseUnknown = (request: ReceivedRequest, reason: string): CallerResponse => answers.refuseWithUnknownOutcome(request, createUnknownRefusal(reason));

	const openStep = (transactionId: string, header: string | undefined, stepOptions: StepOptions): Step | CallerResponse => {
		const id = parseTransactionId(transactionId);
		const received = receiver.receive(id?.group ?? '', header, {...stepOptions, requestId: id?.requestId, attempt: 2});
		const {asked: request} = received;
		if (!id) {
			return answers.refuse(request, createUnknownRefusal('this is no transaction id of this system'));
		}

		const validation = receiver.validate(received);
		return 'refusal' in validation ? answers.refuse(request, validation.refusal) : {request, group: validation.group, id};
	};

	const answerOnce = (request: ReceivedRequest, id: TransactionId, answer: OwnerResponse): CallerResponse => {
		const end: TriesResult = {answer, tries: 1, outcomeUnknown: answer.outcome === Outcome.Unknown};
		return {...answers.answer(request, end), requestId: formatTransactionId(id)};
	};

	const callHost = async (step: Step, call: (host: NonNullable<ReturnType<typeof findHost>>, remainingMs: number) => Promise<OwnerResponse>) => {
		const host = findHost(hosts, step.id.host);
		const {deadlineAt, startedAt} = step.request;
		return host ? call(host, deadlineAt - startedAt) : undefined;
	};

	// Where the answer to a commit is lost, the transaction's key shows at any owner whether it is committed, and a
	// tombstone there keeps it from being committed later. Otherwise the caller would not learn the outcome.
	const resolveCommit = async (step: Step, answer: OwnerResponse | undefined): Promise<OwnerResponse> => {
		const resolved = await tries.resolve(step.request, step.group, step.request.deadlineAt);
		if (resolved.answer.outcome === Outcome.Done || resolved.answer.refusal?.code === RefusalCode.Resolved) {
			return resolved.answer;
		}

		return {outcome: Outcome.Unknown, refusal: answer?.refusal ?? createUnknownRefusal('the host that held the transaction is gone')};
	};

	return {
		async begin(name, req, header) {
			const received = receiver.receive(name, header, {...req, asked: 'begin', attempt: 1});
			const {asked: request} = received;
			const validation = receiver.validate(received);
			if ('refusal' in validation) {
				return answers.refuse(request, validation.refusal);
			}

			const {group} = validation;
			let holder = hosts.self.name;
			const end = await tries.sendToOwners(request, group, request.deadlineAt, async (host, {remainingMs}) => {
				holder = host.name;
				return ownerClient.call(host, 'begin', {
					group: name, requestId: request.requestId, class: req.class, remainingMs, configVersion: group.version,
				});
			});
			const requestId = formatTransactionId({requestId: request.requestId, group: name, host: holder});
			return {...answers.answer(request, end), requestId};
		},
		async run(transactionId, req, header) {
			const step = openStep(transactionId, header, {asked: 'statement', class: req.class, deadlineMs: req.deadlineMs});
			if ('outcome' in step) {
				return step;
			}

			const {statement, values} = req;
			const answer = await callHost(step, async (host, remainingMs) => ownerClient.call(host, 'run', {
				group: step.id.group, requestId: step.id.requestId, statement, values, class: req.class, remainingMs,
			}));
			return answer ? answerOnce(step.request, step.id, answer) : refuseUnknown(step.request, 'the host that held the transaction is gone, so it was rolled back');
		},
		async commit(transactionId, header) {
			const step = openStep(transactionId, header, {asked: 'commit', class: 'deadline', deadlineMs: DEFAULT_DEADLINE_MS});
			if ('outcome' in step) {
				return step;
			}

			const answer = await callHost(step, async (host, remainingMs) => ownerClient.call(host, 'commit', {
				group: step.id.group, requestId: step.id.requestId, remainingMs: remainingMs / 2,
			}));
			const end = answer?.outcome === Outcome.Done ? answer : await resolveCommit(step, answer);
			return answerOnce(step.request, step.id, end);
		},
		async rollback(transactionId, header) {
			const step = openStep(transactionId, header, {asked: 'rollback', class: 'deadline', deadlineMs: DEFAULT_DEADLINE_MS});
			if ('outcome' in step) {
				return step;
			}

			const answer = await callHost(step, async (host, remainingMs) => ownerClient.call(host, 'rollback', {
				group: step.id.group, requestId: step.id.requestId, remainingMs,
			}));
			return answerOnce(step.request, step.id, answer ?? {outcome: Outcome.Unknown, refusal: createUnknownRefusal('the host that held the transaction is gone')});
		},
	};
}

function findHost(hosts: Hosts, name: string) {
	return hosts.getAll().find(host => host.name === name);
}

function createUnknownRefusal(reason: string): Refusal {
	return {
		code: RefusalCode.TransactionUnknown, reason, facts: {},
	};
}
