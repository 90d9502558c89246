import * as z from 'zod';
import {CommandStatus, type CommandAnswer} from '../operators/operator-commands.js';
import type {Random} from '../random/random.js';
import {createRequestId} from '../random/request-id.js';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import {throwUnreachable} from './cli-errors.js';

/** Maximum number of attempts before the hosts count as unreachable. */
const MAX_ATTEMPTS = 4;

/** Timeout of one attempt, in milliseconds; commands that apply a change take the longest. */
const ATTEMPT_TIMEOUT_MS = 15_000;

/** Delay before the second attempt, in milliseconds; it doubles for each further attempt and has jitter. */
const FIRST_RETRY_DELAY_MS = 200;

const answerSchema = z.object({
	status: z.enum(CommandStatus),
	text: z.string(),
	data: z.unknown(),
});

/** Options of {@link createOperatorClient}. */
export type OperatorClientOptions = {
	/** Base URLs of operator ports; after an attempt without an answer the next URL is used. */
	readonly urls: readonly string[];
	readonly token: string;
	readonly clock: Clock;
	readonly random: Random;
};

/** Sends operators' commands to a host. */
export type OperatorClient = {
	/** Sends a command, with retries until it has an answer; rejects with UnreachableError after the last attempt. */
	run(command: string): Promise<SentAnswer>;
};

/** An answer with the change id of its command. */
export type SentAnswer = CommandAnswer & {readonly changeId: string};

/** Creates a client of the operator port. */
export function createOperatorClient({urls, token, clock, random}: OperatorClientOptions): OperatorClient {
	const send = async (url: string, body: string, signal: AbortSignal) => {
		const res = await fetch(new URL('/v1/commands', url), {
			method: 'POST',
			body,
			signal,
			headers: {'content-type': 'application/json', authorization: `Bearer ${token}`},
		});
		const answer = answerSchema.safeParse(await res.json());
		return answer.success ? answer.data : undefined;
	};

	/** Makes one attempt; resolves with undefined where there is no valid answer, whatever the reason. */
	const attemptOnce = async (url: string, body: string) => {
		const abort = new AbortController();
		try {
			const answer = await withinMs(clock, ATTEMPT_TIMEOUT_MS, send(url, body, abort.signal));
			return answer.timedOut ? undefined : answer.value;
		} catch {
			return undefined;
		} finally {
			abort.abort();
		}
	};

	return {
		async run(command) {
			// The answer to a change may be lost after the change took effect. If the command is sent again with the same id,
			// the host finds the change in the audit trail and does not apply it twice.
			const changeId = createRequestId(clock.wall(), random);
			const body = JSON.stringify({command, changeId});
			for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
				if (attempt > 0) {
					await clock.sleep(FIRST_RETRY_DELAY_MS * (2 ** (attempt - 1)) * (0.5 + random.fraction()));
				}

				const answer = await attemptOnce(urls[attempt % urls.length]!, body);
				if (answer) {
					return {...answer, changeId};
				}
			}

			throwUnreachable(urls, changeId);
		},
	};
}
