import {Outcome} from '../callers/caller-response.js';
import type {Owning} from '../membership/hosts.js';
import type {PlatformHost} from '../object-store/platform.js';
import type {Random} from '../random/random.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {Clock} from '../time/clock.js';
import type {Retries} from '../retries/create-retries.js';
import {GiveUpReason, type FailedTry} from '../retries/retry-policy.js';
import {createRetryBudgetRefusal} from '../retries/retry-refusals.js';
import type {OwnerResponse} from './owner-request.js';

/** Makes one try at one owner. */
export type OwnerTry = (host: PlatformHost, parameters: TryParameters) => Promise<OwnerResponse>;

/** The part of a request to an owner that differs between tries. */
export type TryParameters = {
	/** Time left until the deadline, in milliseconds. */
	readonly remainingMs: number;
	/** Whether every other owner was tried before. */
	readonly isLastOwner: boolean;
};

/** The result of a series of tries. */
export type TriesResult = {
	readonly answer: OwnerResponse;
	readonly tries: number;
	/** Whether some try may have run and the last response does not show if it did. */
	readonly outcomeUnknown: boolean;
	/** Whether a confirmed tombstone keeps every submission of the request from running. */
	readonly hasTombstone?: boolean;
};

/** Options of {@link tryOwners}. */
export type TryOwnersOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly owning: Owning;
	readonly group: string;
	readonly owners: number;
	/** Name of the host to try first if it is an owner: this one. */
	readonly preferredHost: string;
	readonly isRead: boolean;
	readonly deadlineAt: number;
	readonly retries: Retries;
	onRetry?(response: OwnerResponse): void;
};

/** Tries the owners of a group in turn until one completes the request or no further try is allowed, as when its deadline is near. No other layer retries. */
export async function tryOwners(options: TryOwnersOptions, attempt: OwnerTry): Promise<TriesResult> {
	const {clock, random, deadlineAt, group, retries} = options;
	const selection = createOwnerSelection(options);
	let mayHaveRun = false;

	for (let tries = 1; ; tries++) {
		const host = selection.next(clock.now());
		const parameters = {remainingMs: Math.max(1, deadlineAt - clock.now()), isLastOwner: !selection.isOtherLeft(clock.now())};
		const answer = host ? await attempt(host, parameters) : createNoOwnerResponse(group);
		mayHaveRun = answer.outcome === Outcome.Unknown || (mayHaveRun && !isConclusive(answer));
		if (answer.outcome === Outcome.Done) {
			return {answer, tries, outcomeUnknown: mayHaveRun};
		}

		const now = clock.now();
		const failed = describeFailedTry(answer, options.isRead, selection.isOtherLeft(now));
		const next = retries.decide({
			group, failed, tries, deadlineAt, fraction: random.fraction(),
		}, now);
		if (!next.retry) {
			const last = next.reason === GiveUpReason.Budget ? createBudgetResponse(options, answer, tries, now) : answer;
			return {answer: withRetryAfter(last, next.retryAfterMs), tries, outcomeUnknown: mayHaveRun};
		}

		options.onRetry?.(answer);
		await clock.sleep(next.delayMs);
	}
}

/** Returns whether the response decides all tries: an answer, a tombstone or another request that is confirmed under the key applies to each of them. */
function isConclusive({outcome, refusal}: OwnerResponse): boolean {
	return outcome === Outcome.Done || refusal?.code === RefusalCode.Resolved || refusal?.code === RefusalCode.RequestMismatch;
}

function describeFailedTry(response: OwnerResponse, isRead: boolean, otherOwnerLeft: boolean): FailedTry {
	return {
		provedNotRun: response.outcome === Outcome.NotRun,
		isRead,
		// Every write is sent with its request id as key.
		hasKey: !isRead,
		code: response.refusal?.code,
		retryAfterMs: response.refusal?.retryAfterMs,
		otherOwnerLeft: Boolean(response.tryNext) && otherOwnerLeft,
	};
}

function createBudgetResponse(options: TryOwnersOptions, response: OwnerResponse, tries: number, now: number): OwnerResponse {
	const refusal = createRetryBudgetRefusal({
		group: options.group,
		tries,
		budget: options.retries.getBudget(options.group, now).getState(now),
		lastCode: response.refusal?.code,
		retryAfterMs: response.refusal?.retryAfterMs ?? 0,
	});
	return {...response, refusal};
}

function withRetryAfter(response: OwnerResponse, retryAfterMs: number | undefined): OwnerResponse {
	return response.refusal && retryAfterMs !== undefined ? {...response, refusal: {...response.refusal, retryAfterMs}} : response;
}

/** Creates the selection of the next owner to try: the preferred host first if it is an owner, then each other owner once before any is tried again. */
function createOwnerSelection(options: TryOwnersOptions) {
	const tried = new Set<string>();
	let offset = Math.floor(options.random.fraction() * options.owners);

	const getOwners = (now: number) => options.owning.getOwners(options.group, options.owners, now);
	const getUntried = (now: number) => getOwners(now).filter(({name}) => !tried.has(name));

	return {
		isOtherLeft: (now: number) => getUntried(now).length > 0,
		next(now: number): PlatformHost | undefined {
			const untried = getUntried(now);
			const candidates = untried.length > 0 ? untried : getOwners(now);
			const host = candidates.find(({name}) => name === options.preferredHost && !tried.has(name)) ?? candidates[offset % Math.max(1, candidates.length)];
			offset++;
			if (host) {
				tried.add(host.name);
			}

			return host;
		},
	};
}

function createNoOwnerResponse(group: string): OwnerResponse {
	return {
		outcome: Outcome.NotRun,
		refusal: {
			code: RefusalCode.NoOwner,
			reason: 'no live host looks after the group',
			retryAfterMs: 500,
			facts: {group},
		},
	};
}
