import {Outcome} from '../callers/caller-answer.js';
import type {Owning} from '../membership/hosts.js';
import type {PlatformHost} from '../platform/platform.js';
import type {Random} from '../random/random.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {Clock} from '../time/clock.js';
import type {OwnerAnswer} from './owner-request.js';
import {isRetryable} from './retry-rule.js';

/** One try at one owner, with the time that is left in milliseconds. */
export type OwnerTry = (host: PlatformHost, remainingMs: number) => Promise<OwnerAnswer>;

/** What a series of tries ended with. */
export type TriesEnd = {
	readonly answer: OwnerAnswer;
	readonly tries: number;
	/** True where some try may have run and the last answer does not settle it. */
	readonly unsure: boolean;
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
	readonly deadlineAt: number;
	/** Asks the retry budget; false ends the series with the last answer. */
	mayRetry(now: number): boolean;
	onRetry?(answer: OwnerAnswer): void;
};

/** Bounds of the pause between tries, in milliseconds. */
const SHORTEST_PAUSE_MS = 5;
const LONGEST_PAUSE_MS = 400;

/** Less time than this is not worth another try, in milliseconds. */
const LEAST_TRY_MS = 2;

/** Tries the owners of a group in turn until one settles the request or its deadline is near. This layer alone retries. */
export async function tryOwners(options: TryOwnersOptions, attempt: OwnerTry): Promise<TriesEnd> {
	const {clock, random, deadlineAt} = options;
	let unsure = false;
	let last: OwnerAnswer = refuseNoOwners(options.group);
	let {preferred}: {preferred?: string} = options;
	let turn = Math.floor(random.fraction() * options.owners);

	for (let tries = 1; ; tries++) {
		const host = getHost(options, turn, preferred);
		if (host) {
			last = await attempt(host, Math.max(1, deadlineAt - clock.now()));
			unsure = last.outcome === Outcome.Unknown || (unsure && !isSettled(last));
		}

		const now = clock.now();
		const pauseMs = getPause(tries, last, random.fraction());
		const late = now + pauseMs + LEAST_TRY_MS >= deadlineAt;
		if (!isRetryable(last) || late || !options.mayRetry(now)) {
			return {answer: last, tries, unsure};
		}

		options.onRetry?.(last);
		preferred = undefined;
		turn++;
		await clock.sleep(pauseMs);
	}
}

/** A confirmed answer or a confirmed tombstone holds for every try under the same key. */
function isSettled(answer: OwnerAnswer): boolean {
	return answer.outcome === Outcome.Done || answer.refusal?.code === RefusalCode.Resolved;
}

function getHost(options: TryOwnersOptions, turn: number, preferred: string | undefined): PlatformHost | undefined {
	const owners = options.owning.getOwners(options.group, options.owners, options.clock.now());
	return owners.find(({name}) => name === preferred) ?? owners[turn % Math.max(1, owners.length)];
}

/** Grows exponentially with full jitter; an owner that only points elsewhere costs no pause. */
function getPause(tries: number, answer: OwnerAnswer, fraction: number): number {
	if (answer.tryNext && tries === 1) {
		return 0;
	}

	const most = Math.min(LONGEST_PAUSE_MS, SHORTEST_PAUSE_MS * (2 ** Math.min(tries, 10)));
	return SHORTEST_PAUSE_MS + (fraction * most);
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
