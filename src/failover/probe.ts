import type {Clock} from '../time/clock.js';

/** How a probe of a server ended. */
export const ProbeResult = {
	Answered: 'answered',
	/** It failed before its time was up: the connection was refused, reset or closed. */
	Refused: 'refused',
	/** Its time passed without an answer. */
	Silent: 'silent',
	/** It took far longer than its time: this process was paused, so that the silence says nothing of the server. */
	Paused: 'paused',
} as const;

/** One of the results in {@link ProbeResult}. */
export type ProbeResult = typeof ProbeResult[keyof typeof ProbeResult];

/** What {@link probe} needs. */
export type ProbeOptions = {
	readonly clock: Clock;
	readonly timeoutMs: number;
	/** Excess over the timeout from which on the process is held to have been paused. */
	readonly pauseSlackMs: number;
	/** The exchange; rejects when it fails or its time is up. */
	exchange(timeoutMs: number): Promise<unknown>;
};

/** Asks a server for a sign of life; never rejects. */
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
 * Tells kinds of failure apart by the time they took.
 *
 * After a pause of this process (garbage collection, a stopped virtual machine) its timers fire before it reads the
 * answers that wait in its sockets, so that healthy servers look silent. The pause shows as a timeout that fired
 * late; such a failure is no evidence.
 */
function classifyFailure(tookMs: number, timeoutMs: number, pauseSlackMs: number): ProbeResult {
	if (tookMs > timeoutMs + pauseSlackMs) {
		return ProbeResult.Paused;
	}

	return tookMs < timeoutMs ? ProbeResult.Refused : ProbeResult.Silent;
}
