import type {Clock} from '../time/clock.js';

/** How a probe of a server ended. */
export const ProbeResult = {
	Answered: 'answered',
	/** It failed before its timeout: the connection was refused, reset or closed. */
	Refused: 'refused',
	/** It timed out without an answer. */
	Silent: 'silent',
	/** It ended long after its timeout: this process was paused, so a missing answer says nothing about the server. */
	Paused: 'paused',
} as const;

/** One of the results in {@link ProbeResult}. */
export type ProbeResult = typeof ProbeResult[keyof typeof ProbeResult];

/** Options of {@link probe}. */
export type ProbeOptions = {
	readonly clock: Clock;
	readonly timeoutMs: number;
	/** Excess over the timeout above which this process counts as paused, in milliseconds. */
	readonly pauseSlackMs: number;
	/** Runs the exchange; rejects when it fails or times out. */
	exchange(timeoutMs: number): Promise<unknown>;
};

/** Probes a server once and resolves with the result; never rejects. */
export async function probe(options: ProbeOptions): Promise<ProbeResult> {
	const {clock, timeoutMs} = options;
	const startedAt = clock.now();
	try {
		await options.exchange(timeoutMs);
		return ProbeResult.Answered;
	} catch {
		return classifyFailure(clock.now() - startedAt, timeoutMs, options.pauseSlackMs);
	}
}

/**
 * Classifies a failure by the time that it took.
 *
 * After a pause of this process (garbage collection, a stopped virtual machine) its timers fire before it reads the
 * answers that wait in its sockets, so that healthy servers appear silent. Such a pause is detected by the timeout's
 * firing late; the failure then says nothing about the server.
 */
function classifyFailure(tookMs: number, timeoutMs: number, pauseSlackMs: number): ProbeResult {
	if (tookMs > timeoutMs + pauseSlackMs) {
		return ProbeResult.Paused;
	}

	return tookMs < timeoutMs ? ProbeResult.Refused : ProbeResult.Silent;
}
