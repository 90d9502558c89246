import type {FailoverSettings} from './failover-settings.js';
import {ProbeResult} from './probe.js';

/** What the probes of one server add up to. */
export const Health = {
	/** The last probe was answered, or nothing is known against the server. */
	Healthy: 'healthy',
	/** Probes failed, but not for long enough. */
	Doubtful: 'doubtful',
	/** It failed for longer than a healthy server ever would; a second opinion is still needed. */
	Suspect: 'suspect',
} as const;

/** One of the states in {@link Health}. */
export type Health = typeof Health[keyof typeof Health];

/** Judges one server by the run of probes that failed. */
export type FailureDetector = {
	/** Notes how a probe that began at `startedAt` ended. */
	note(result: ProbeResult, startedAt: number): void;
	getHealth(now: number): Health;
};

/** A server is never held lost on a single probe: a connection may have been cut or gone silent on its own. */
const LEAST_FAILURES = 2;

/** Creates a detector that knows nothing against the server. */
export function createFailureDetector(settings: Pick<FailoverSettings, 'refusedMs' | 'silenceMs'>): FailureDetector {
	let failures = 0;
	let failingSince = 0;
	let wasSilent = false;

	return {
		note(result, startedAt) {
			if (result === ProbeResult.Answered || result === ProbeResult.Paused) {
				failures = 0;
				wasSilent = false;
				return;
			}

			failingSince = failures === 0 ? startedAt : failingSince;
			failures++;
			wasSilent ||= result === ProbeResult.Silent;
		},
		getHealth(now) {
			if (failures === 0) {
				return Health.Healthy;
			}

			// A paused server is silent and comes back; one whose process is gone refuses, which needs no such patience.
			const patienceMs = wasSilent ? settings.silenceMs : settings.refusedMs;
			return failures >= LEAST_FAILURES && now - failingSince >= patienceMs ? Health.Suspect : Health.Doubtful;
		},
	};
}
