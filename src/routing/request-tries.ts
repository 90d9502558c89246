import {Outcome} from '../callers/caller-answer.js';
import {RequestKind} from '../callers/caller-request.js';
import type {VersionedGroup} from '../configuration/configuration.js';
import type {Hosts, Owning} from '../membership/hosts.js';
import type {Random} from '../random/random.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {Retries} from '../retries/create-retries.js';
import type {Clock} from '../time/clock.js';
import type {AskedRequest} from './asked-request.js';
import type {OwnerClient} from './owner-client.js';
import type {OwnerAnswer} from './owner-request.js';
import {tryOwners, type OwnerTry, type TriesEnd} from './try-owners.js';

/** Brings one request to the owners of its group, again where need be. */
export type RequestTries = {
	tryFor(asked: AskedRequest, group: VersionedGroup, deadlineAt: number, attempt: OwnerTry): Promise<TriesEnd>;
	/** Settles what stands under the request's key, with a tombstone where nothing does. */
	settle(asked: AskedRequest, group: VersionedGroup, deadlineAt: number): Promise<TriesEnd>;
	/** Settles what an unsure end of `attempt` left open, where the time suffices. */
	settleUnsure(asked: AskedRequest, group: VersionedGroup, end: TriesEnd, attempt: OwnerTry): Promise<TriesEnd>;
};

/** What tries are made with. */
export type RequestTriesOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly hosts: Hosts;
	readonly owning: Owning;
	readonly ownerClient: OwnerClient;
	readonly retries: Retries;
	/** Told of every retry, for metrics. */
	onRetry?(answer: OwnerAnswer): void;
};

/** Creates the tries of one host's entry. */
export function createRequestTries(options: RequestTriesOptions): RequestTries {
	const {
		clock, random, hosts, owning, ownerClient,
	} = options;

	const tryFor = async (asked: AskedRequest, group: VersionedGroup, deadlineAt: number, attempt: OwnerTry) => tryOwners({
		clock,
		random,
		owning,
		group: asked.group,
		owners: group.cfg.owners,
		preferred: hosts.self.name,
		deadlineAt,
		isRead: asked.asked === RequestKind.Read,
		retries: options.retries,
		onRetry: options.onRetry,
	}, attempt);

	// Guards against a false "not run" and against a caller left unsure: an earlier try that brought no answer may
	// still be on its way to the primary. The tombstone keeps it from ever running, and only then is it said.
	const settle = async (asked: AskedRequest, group: VersionedGroup, deadlineAt: number): Promise<TriesEnd> => {
		const attempt: OwnerTry = async (host, turn) => ownerClient.call(host, 'resolve', {
			group: asked.group, requestId: asked.requestId, ...turn, configVersion: group.version,
		});
		return tryFor(asked, group, deadlineAt, attempt);
	};

	// Guards against another caller's answer: what stands under the id may be the answer to another statement, sent by
	// mistake under the same id. Only the request itself, sent again with its digest, tells; it cannot run any more.
	const fetchOwn = async (asked: AskedRequest, group: VersionedGroup, attempt: OwnerTry): Promise<TriesEnd | undefined> => {
		const fetched = await tryFor(asked, group, asked.deadlineAt, attempt);
		const isOwn = fetched.answer.outcome === Outcome.Done || fetched.answer.refusal?.code === RefusalCode.RequestMismatch;
		return isOwn ? fetched : undefined;
	};

	const settleUnsure = async (asked: AskedRequest, group: VersionedGroup, end: TriesEnd, attempt: OwnerTry): Promise<TriesEnd> => {
		const settled = await settle(asked, group, asked.deadlineAt);
		const isTombstone = settled.answer.refusal?.code === RefusalCode.Resolved && !settled.unsure;
		if (isTombstone) {
			return {
				answer: {...end.answer, outcome: Outcome.NotRun}, tries: end.tries, unsure: false, settled: true,
			};
		}

		const own = settled.answer.outcome === Outcome.Done ? await fetchOwn(asked, group, attempt) : undefined;
		return own ?? {...end, unsure: true};
	};

	return {tryFor, settle, settleUnsure};
}
