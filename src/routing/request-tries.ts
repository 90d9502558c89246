import {Outcome} from '../callers/caller-response.js';
import {RequestKind} from '../callers/caller-request.js';
import type {VersionedGroup} from '../configuration/configuration.js';
import type {Hosts, Owning} from '../membership/hosts.js';
import type {Random} from '../random/random.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {Retries} from '../retries/create-retries.js';
import type {Clock} from '../time/clock.js';
import type {ReceivedRequest} from './received-request.js';
import type {OwnerClient} from './owner-client.js';
import type {OwnerResponse} from './owner-request.js';
import {tryOwners, type OwnerTry, type TriesResult} from './try-owners.js';

/** Sends one request to the owners of its group, with retries. */
export type RequestTries = {
	sendToOwners(received: ReceivedRequest, group: VersionedGroup, deadlineAt: number, attempt: OwnerTry): Promise<TriesResult>;
	/** Resolves the outcome of the request's key; a tombstone is written where the key does not exist. */
	resolve(received: ReceivedRequest, group: VersionedGroup, deadlineAt: number): Promise<TriesResult>;
	/** Resolves the unknown outcome that `attempt` ended with, where the time suffices. */
	resolveUnknown(received: ReceivedRequest, group: VersionedGroup, result: TriesResult, attempt: OwnerTry): Promise<TriesResult>;
};

/** Options of {@link createRequestTries}. */
export type RequestTriesOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly hosts: Hosts;
	readonly owning: Owning;
	readonly ownerClient: OwnerClient;
	readonly retries: Retries;
	/** Called before every retry with the failed response, for metrics. */
	onRetry?(response: OwnerResponse): void;
};

/** Creates the tries of one host's entry. */
export function createRequestTries(options: RequestTriesOptions): RequestTries {
	const {
		clock, random, hosts, owning, ownerClient,
	} = options;

	const runTries = async (received: ReceivedRequest, group: VersionedGroup, deadlineAt: number, attempt: OwnerTry) => tryOwners({
		clock,
		random,
		owning,
		group: received.group,
		owners: group.cfg.owners,
		preferredHost: hosts.self.name,
		deadlineAt,
		isRead: received.asked === RequestKind.Read,
		retries: options.retries,
		onRetry: options.onRetry,
	}, attempt);

	// Guards against a false "not run" and against an outcome that stays unknown: an earlier try without a response may still
	// be on its way to the primary. The tombstone keeps it from ever running, and only then is "not run" reported.
	const resolveKey = async (received: ReceivedRequest, group: VersionedGroup, deadlineAt: number): Promise<TriesResult> => {
		const attempt: OwnerTry = async (host, parameters) => ownerClient.call(host, 'resolve', {
			group: received.group, requestId: received.requestId, ...parameters, configVersion: group.version,
		});
		return runTries(received, group, deadlineAt, attempt);
	};

	// Guards against another caller's answer: the key may hold the answer to another statement that was sent by mistake under
	// the same id. Only sending the request again, with its digest, shows which; it cannot run any more.
	const fetchOwnResponse = async (received: ReceivedRequest, group: VersionedGroup, attempt: OwnerTry): Promise<TriesResult | undefined> => {
		const fetched = await runTries(received, group, received.deadlineAt, attempt);
		const isOwnResponse = fetched.answer.outcome === Outcome.Done || fetched.answer.refusal?.code === RefusalCode.RequestMismatch;
		return isOwnResponse ? fetched : undefined;
	};

	const resolveUnknownOutcome = async (received: ReceivedRequest, group: VersionedGroup, result: TriesResult, attempt: OwnerTry): Promise<TriesResult> => {
		const resolved = await resolveKey(received, group, received.deadlineAt);
		const isTombstone = resolved.answer.refusal?.code === RefusalCode.Resolved && !resolved.outcomeUnknown;
		if (isTombstone) {
			return {
				answer: {...result.answer, outcome: Outcome.NotRun}, tries: result.tries, outcomeUnknown: false, hasTombstone: true,
			};
		}

		const ownResult = resolved.answer.outcome === Outcome.Done ? await fetchOwnResponse(received, group, attempt) : undefined;
		return ownResult ?? {...result, outcomeUnknown: true};
	};

	return {sendToOwners: runTries, resolve: resolveKey, resolveUnknown: resolveUnknownOutcome};
}
