import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import type {FailoverSettings} from './failover-settings.js';
import {probe, ProbeResult} from './probe.js';

/** What {@link detectFailure} needs. */
export type DetectOptions = {
	readonly clock: Clock;
	readonly settings: Pick<FailoverSettings, 'pauseSlackMs' | 'probeRetryMs' | 'refusedMs'>;
	/** How much later than on the connection at hand it is asked on a fresh one, in milliseconds. */
	readonly headStartMs: number;
	/** How long a server may be silent on the fresh connection, in milliseconds. */
	readonly silenceMs: number;
	/** Asks on a connection that is open already, where there is one. */
	askKept?(timeoutMs: number): Promise<unknown>;
	/** Asks on a connection of its own. */
	askFresh(timeoutMs: number): Promise<unknown>;
	/** Called once the first question is not answered at once. */
	onDoubt?(): void;
};

/**
 * Seeks a sign of life of a server and tells what came of it; never rejects.
 *
 * It asks on two connections. The one that is open already brings the answer of a server that was merely paused as soon
 * as it goes on, without the time that connecting takes. A fresh one brings the answer of a server whose old connections
 * went silent. A server is failed only when both bring nothing: when all is silent to the end, or, since a paused
 * server does not refuse, when it refuses for a shorter while. The fresh connection always gets its whole time: what the
 * other one did not bring may be its own fault, or that of a pause of this process.
 */
export async function detectFailure(options: DetectOptions): Promise<ProbeResult> {
	const {clock, settings, headStartMs, silenceMs} = options;

	const ask = async (timeoutMs: number, exchange: (timeoutMs: number) => Promise<unknown>) => probe({
		clock, timeoutMs, pauseSlackMs: settings.pauseSlackMs, exchange,
	});

	const askFreshUntilEnd = async (): Promise<ProbeResult> => {
		const startedAt = clock.now();
		for (;;) {
			const leftMs = Math.max(settings.probeRetryMs, startedAt + silenceMs - clock.now());
			const result = await ask(leftMs, async timeoutMs => options.askFresh(timeoutMs));
			if (result !== ProbeResult.Refused || clock.now() - startedAt >= settings.refusedMs) {
				return result;
			}

			await clock.sleep(settings.probeRetryMs);
		}
	};

	const {askKept} = options;
	const kept = askKept ? ask(headStartMs + silenceMs, async timeoutMs => askKept(timeoutMs)) : Promise.resolve(ProbeResult.Refused);
	const first = await withinMs(clock, headStartMs, kept);
	if (!first.timedOut && isNoEvidence(first.value)) {
		return first.value;
	}

	options.onDoubt?.();
	return combine([kept, askFreshUntilEnd()]);
}

function isNoEvidence(result: ProbeResult): boolean {
	return result === ProbeResult.Answered || result === ProbeResult.Paused;
}

/** The first answer, or what all questions together amount to. */
async function combine(questions: ReadonlyArray<Promise<ProbeResult>>): Promise<ProbeResult> {
	const answered = questions.map(async question => (await question) === ProbeResult.Answered ? ProbeResult.Answered : Promise.reject(new Error('no answer')));
	try {
		return await Promise.any(answered);
	} catch {
		const results = await Promise.all(questions);
		const weight = [ProbeResult.Paused, ProbeResult.Silent, ProbeResult.Refused];
		return weight.find(result => results.includes(result)) ?? ProbeResult.Refused;
	}
}
