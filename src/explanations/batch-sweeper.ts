import type {Log} from '../log/log.js';
import type {Hosts} from '../membership/hosts.js';
import {ObjectKind, type Platform} from '../object-store/platform.js';
import type {Clock} from '../time/clock.js';
import {getMinute} from './record-batch.js';

/** How long batches are kept, in milliseconds. */
export const BATCH_RETENTION_MS = 7 * 86_400_000;

const MINUTE_MS = 60_000;

/** Each minute is swept a second time this much later, in milliseconds, for what a dying host left. */
const SECOND_SWEEP_MS = 3_600_000;

const CALL_TIMEOUT_MS = 5000;

/** Least time between two deletions, in milliseconds. */
const DELETE_INTERVAL_MS = 200;

/** Options of {@link createBatchSweeper}. */
export type BatchSweeperOptions = {
	readonly platform: Platform;
	readonly clock: Clock;
	readonly hosts: Hosts;
	readonly log: Log;
};

/** Deletes batches past their retention. */
export type BatchSweeper = {
	/** Sweeps until the signal aborts; never rejects. */
	run(signal: AbortSignal): Promise<void>;
};

/**
 * Creates the sweeper of this host.
 *
 * A batch's writer may be gone for long when its retention ends, so the minutes are shared out over the hosts that live
 * then: one list call a minute, and a second one an hour later, for the whole fleet.
 */
export function createBatchSweeper({platform, clock, hosts, log}: BatchSweeperOptions): BatchSweeper {
	// Guards against batches that stay for ever because the host whose turn it was is dead, and the host list lags or lies:
	// the second sweep of a minute falls to another host.
	const isOurs = (minute: number, sweepNumber: number, now: number) => {
		const names = hosts.getUsable(now).map(host => host.name).toSorted();
		return names[(minute + sweepNumber) % names.length] === hosts.self.name;
	};

	const sweep = async (minute: number, signal: AbortSignal) => {
		const {objects} = await platform.list(ObjectKind.Explanations, `${getMinute(minute * MINUTE_MS)}.`, CALL_TIMEOUT_MS);
		for (const {name, version} of objects) {
			if (signal.aborted) {
				return;
			}

			await platform.delete(ObjectKind.Explanations, name, version, CALL_TIMEOUT_MS);
			await clock.sleep(DELETE_INTERVAL_MS, signal);
		}
	};

	const sweepIfOurs = async (minute: number, sweepNumber: number, signal: AbortSignal) => {
		if (!isOurs(minute, sweepNumber, clock.now())) {
			return;
		}

		try {
			await sweep(minute, signal);
		} catch {
			log.info('old batches of records were left for the next sweep, the platform gave no answer');
		}
	};

	return {
		async run(signal) {
			let current = Math.floor(clock.wall() / MINUTE_MS);
			while (!signal.aborted) {
				await clock.sleep(MINUTE_MS, signal);
				const reached = Math.floor(clock.wall() / MINUTE_MS);
				for (; current < reached && !signal.aborted; current++) {
					const expired = current - (BATCH_RETENTION_MS / MINUTE_MS) - 1;
					await sweepIfOurs(expired, 0, signal);
					await sweepIfOurs(expired - (SECOND_SWEEP_MS / MINUTE_MS), 1, signal);
				}
			}
		},
	};
}
