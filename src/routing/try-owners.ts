import {Outcome} from '../callers/caller-answer.js';
import type {Owning} from '../membership/hosts.js';
import type {PlatformHost} from '../object-store/platform.js';
import type {Random} from '../random/random.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {Clock} from '../time/clock.js';
import type {Retries} from '../retries/create-retries.js';
import {GiveUpReason, type FailedTry} from '../retries/retry-policy.js';
import {createRetryBudgetRefusal} from '../retries/retry-refusals.js';
import type {OwnerAnswer} from './owner-request.js';

/** One try at one owner. */
export type OwnerTry = (host: PlatformHost, turn: OwnerTurn) => Promise<OwnerAnswer>;

/** What an owner is told of its turn. */
export type OwnerTurn = {
	/** Time left, in milliseconds. */
	readonly remainingMs: number;
	/** Every other owner was asked before. */
	readonly isLastOwner: boolean;
};

/** What a series of tries ended with. */
export type TriesEnd = {
	readonly answer: OwnerAnswer;
	readonly tries: number;
	/** True where some try may have run and the last answer does not settle it. */
	readonly unsure: boolean;
	/** True where a confirmed tombstone keeps every submission of the request from running. */
	readonly settled?: boolean;
};

/** What the tries of one request need. */
export type TryOwnersOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly owning: Owning;
	readonly group: string;
	readonly owners: number;
	/** Name of the host to be preferred where it is an owner: this one. */
	readonly preferred: string;
	readonly isRead: boolean;
	readonly deadlineAt: number;
	readonly retries: Retries;
	onRetry?(answer: OwnerAnswer): void;
};

/** Tries the owners of a group in turn until one settles the request or its deadline is near. This layer alone retries. */
export async function tryOwners(options: TryOwnersOptions, attempt: OwnerTry): Promise<TriesEnd> {
	const {clock, random, deadlineAt, group, retries} = options;
	const turns = createTurns(options);
	let unsure = false;

	for (let tries = 1; ; tries++) {
		const host = turns.next(clock.now());
		const turn = {remainingMs: Math.max(1, deadlineAt - clock.now()), isLastOwner: !turns.isOtherLeft(clock.now())};
		const answer = host ? await attempt(host, turn) : refuseNoOwners(group);
		unsure = answer.outcome === Outcome.Unknown || (unsure && !isSettled(answer));
		if (answer.outcome === Outcome.Done) {
			return {answer, tries, unsure};
		}

		const now = clock.now();
		const failed = describeFailedTry(answer, options.isRead, turns.isOtherLeft(now));
		const next = retries.decide({
			group, failed, tries, deadlineAt, fraction: random.fraction(),
		}, now);
		if (!next.retry) {
			const last = next.reason === GiveUpReason.Budget ? describeSpentBudget(options, answer, tries, now) : answer;
			return {answer: withRetryAfter(last, next.retryAfterMs), tries, unsure};
		}

		options.onRetry?.(answer);
		await clock.sleep(next.delayMs);
	}
}

/** What is confirmed under a key, an answer, a tombstone or another request, holds for every try under it. */
function isSettled({outcome, refusal}: OwnerAnswer): boolean {
	return outcome === Outcome.Done || refusal?.code === RefusalCode.Resolved || refusal?.code === RefusalCode.RequestMismatch;
}

function describeFailedTry(answer: OwnerAnswer, isRead: boolean, otherOwnerLeft: boolean): FailedTry {
	return {
		provedNotRun: answer.outcome === Outcome.NotRun,
		isRead,
		// Every write is sent under its request id.
		hasKey: !isRead,
		code: answer.refusal?.code,
		retryAfterMs: answer.refusal?.retryAfterMs,
		otherOwnerLeft: Boolean(answer.tryNext) && otherOwnerLeft,
	};
}

function describeSpentBudget(options: TryOwnersOptions, answer: OwnerAnswer, tries: number, now: number): OwnerAnswer {
	const refusal = createRetryBudgetRefusal({
		group: options.group,
		tries,
		budget: options.retries.getBudget(options.group, now).getState(now),
		lastCode: answer.refusal?.code,
		retryAfterMs: answer.refusal?.retryAfterMs ?? 0,
	});
	return {...answer, refusal};
}

function withRetryAfter(answer: OwnerAnswer, retryAfterMs: number | undefined): OwnerAnswer {
	return answer.refusal && retryAfterMs !== undefined ? {...answer, refusal: {...answer.refusal, retryAfterMs}} : answer;
}

/** Picks whom to ask: this host first where it is an owner, then each other once before any twice. */
function createTurns(options: TryOwnersOptions) {
	const asked = new Set<string>();
	let turn = Math.floor(options.random.fraction() * options.owners);

	const getOwners = (now: number) => options.owning.getOwners(options.group, options.owners, now);
	const getLeft = (now: number) => getOwners(now).filter(({name}) => !asked.has(name));

	return {
		isOtherLeft: (now: number) => getLeft(now).length > 0,
		next(now: number): PlatformHost | undefined {
			const left = getLeft(now);
			const choice = left.length > 0 ? left : getOwners(now);
			const host = choice.find(({name}) => name === options.preferred && !asked.has(name)) ?? choice[turn % Math.max(1, choice.length)];
			turn++;
			if (host) {
				asked.add(host.name);
			}

			return host;
		},
	};
}

function refuseNoOwners(group: string): OwnerAnswer {
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
