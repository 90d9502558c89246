import * as z from 'zod';
import {CommandStatus, type CommandAnswer} from '../operators/operator-commands.js';
import type {Random} from '../random/random.js';
import {createRequestId} from '../random/request-id.js';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import {throwUnreachable} from './cli-errors.js';

/** Times that a command is sent before its host counts as unreachable. */
const MAX_TRIES = 4;

/** How long one try may take, in milliseconds; commands that wait for a change in force are the longest. */
const TRY_TIMEOUT_MS = 15_000;

/** Pause before the second try, in milliseconds; each further one is twice as long, with jitter. */
const FIRST_PAUSE_MS = 200;

const answerSchema = z.object({
	status: z.enum(CommandStatus),
	text: z.string(),
	data: z.unknown(),
});

/** What the client needs. */
export type OperatorClientOptions = {
	/** Base URLs of operator ports; a try that brings no answer goes on to the next. */
	readonly urls: readonly string[];
	readonly token: string;
	readonly clock: Clock;
	readonly random: Random;
};

/** Sends operators' commands to a host. */
export type OperatorClient = {
	/** Sends a command until it has an answer; rejects with UnreachableError. */
	run(command: string): Promise<SentAnswer>;
};

/** An answer with the id under which its command was sent. */
export type SentAnswer = CommandAnswer & {readonly changeId: string};

/** Creates a client. */
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

	/** Undefined where no answer came, whatever the reason. */
	const tryOnce = async (url: string, body: string) => {
		const abort = new AbortController();
		try {
			const answer = await withinMs(clock, TRY_TIMEOUT_MS, send(url, body, abort.signal));
			return answer.timedOut ? undefined : answer.value;
		} catch {
			return undefined;
		} finally {
			abort.abort();
		}
	};

	return {
		async run(command) {
			// The answer to a change may be lost after it took effect. Sent again under the same id, it is found among the
			// changes made and not made twice.
			const changeId = createRequestId(clock.wall(), random);
			const body = JSON.stringify({command, changeId});
			for (let tries = 0; tries < MAX_TRIES; tries++) {
				if (tries > 0) {
					await clock.sleep(FIRST_PAUSE_MS * (2 ** (tries - 1)) * (0.5 + random.fraction()));
				}

				const answer = await tryOnce(urls[tries % urls.length]!, body);
				if (answer) {
					return {...answer, changeId};
				}
			}

			throwUnreachable(urls, changeId);
		},
	};
}
