import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import type {FailoverSettings} from './failover-settings.js';
import {probe, ProbeResult} from './probe.js';

/** Options of {@link detectFailure}. */
export type DetectOptions = {
	readonly clock: Clock;
	readonly settings: Pick<FailoverSettings, 'pauseSlackMs' | 'probeRetryMs' | 'refusedMs'>;
	/** How much later than the probe on the open connection the one on a fresh connection starts, in milliseconds. */
	readonly freshProbeDelayMs: number;
	/** How long a server may be silent on the fresh connection, in milliseconds. */
	readonly silenceMs: number;
	/** Probes the server on a connection that is already open, if there is one. */
	probeOpen?(timeoutMs: number): Promise<unknown>;
	/** Probes the server on a fresh connection. */
	probeFresh(timeoutMs: number): Promise<unknown>;
	/** Called once the probe on the open connection failed or was not answered within `freshProbeDelayMs`. */
	onDelayed?(): void;
};

/**
 * Probes a server for an answer and resolves with the result; never rejects.
 *
 * It probes on two connections. The one that is already open brings the answer of a server that was merely paused as soon
 * as it resumes, without the time for connecting. A fresh one brings the answer of a server whose old connections went
 * silent. A server has failed only when neither is answered: when both stay silent to the end or, since a paused server
 * does not refuse connections, when it refuses them for a shorter time. The fresh connection always gets its whole time:
 * a missing answer on the open one may be that connection's own fault, or caused by a pause of this process.
 */
export async function detectFailure(options: DetectOptions): Promise<ProbeResult> {
	const {clock, settings, freshProbeDelayMs, silenceMs} = options;

	const ask = async (timeoutMs: number, exchange: (timeoutMs: number) => Promise<unknown>) => probe({
		clock, timeoutMs, pauseSlackMs: settings.pauseSlackMs, exchange,
	});

	const probeFreshUntilEnd = async (): Promise<ProbeResult> => {
		const startedAt = clock.now();
		for (;;) {
			const leftMs = Math.max(settings.probeRetryMs, startedAt + silenceMs - clock.now());
			const result = await ask(leftMs, async timeoutMs => options.probeFresh(timeoutMs));
			if (result !== ProbeResult.Refused || clock.now() - startedAt >= settings.refusedMs) {
				return result;
			}

			await clock.sleep(settings.probeRetryMs);
		}
	};

	const {probeOpen} = options;
	const openProbe = probeOpen ? ask(freshProbeDelayMs + silenceMs, async timeoutMs => probeOpen(timeoutMs)) : Promise.resolve(ProbeResult.Refused);
	const early = await withinMs(clock, freshProbeDelayMs, openProbe);
	if (!early.timedOut && isNoFailure(early.value)) {
		return early.value;
	}

	options.onDelayed?.();
	return combineResults([openProbe, probeFreshUntilEnd()]);
}

function isNoFailure(result: ProbeResult): boolean {
	return result === ProbeResult.Answered || result === ProbeResult.Paused;
}

/** Resolves with the first answer, or with the combined result of all probes where none is answered. */
async function combineResults(probes: ReadonlyArray<Promise<ProbeResult>>): Promise<ProbeResult> {
	const answered = probes.map(async pending => (await pending) === ProbeResult.Answered ? ProbeResult.Answered : Promise.reject(new Error('no answer')));
	try {
		return await Promise.any(answered);
	} catch {
		const results = await Promise.all(probes);
		const precedence = [ProbeResult.Paused, ProbeResult.Silent, ProbeResult.Refused];
		return precedence.find(result => results.includes(result)) ?? ProbeResult.Refused;
	}
}
