import type {Log} from '../log/log.js';
import type {Hosts} from '../membership/hosts.js';
import {ObjectKind, type Platform} from '../object-store/platform.js';
import type {Clock} from '../time/clock.js';
import {getMinute} from './record-batch.js';

/** Retention period of batches, in milliseconds. */
export const BATCH_RETENTION_MS = 7 * 86_400_000;

const MINUTE_MS = 60_000;

/** Delay of the second sweep of each minute, in milliseconds. It deletes what the first one left, because its host stopped or a call failed. */
const SECOND_SWEEP_DELAY_MS = 3_600_000;

const CALL_TIMEOUT_MS = 5000;

/** Pause after each deletion, in milliseconds. */
const DELETE_INTERVAL_MS = 200;

/** Options of {@link createBatchSweeper}. */
export type BatchSweeperOptions = {
	readonly platform: Platform;
	readonly clock: Clock;
	readonly hosts: Hosts;
	readonly log: Log;
};

/** Deletes batches whose retention period has ended. */
export type BatchSweeper = {
	/** Sweeps until the signal aborts. The promise never rejects. */
	run(signal: AbortSignal): Promise<void>;
};

/**
 * Creates the sweeper of this host.
 *
 * The host that wrote a batch may no longer exist when the retention period ends, so the minutes are distributed over the
 * hosts that are usable at that time. For the whole fleet this takes one list call per minute, and a second one an hour later.
 */
export function createBatchSweeper({platform, clock, hosts, log}: BatchSweeperOptions): BatchSweeper {
	// The second sweep of a minute is assigned to another host, so that batches are also deleted if the first host is dead
	// while the host list is outdated or wrong.
	const isAssignedToThisHost = (minute: number, sweepNumber: number, now: number) => {
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

	const sweepIfAssigned = async (minute: number, sweepNumber: number, signal: AbortSignal) => {
		if (!isAssignedToThisHost(minute, sweepNumber, clock.now())) {
			return;
		}

		try {
			await sweep(minute, signal);
		} catch {
			log.info('expired batches of records were left to the next sweep because a call to the platform failed');
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
					await sweepIfAssigned(expired, 0, signal);
					await sweepIfAssigned(expired - (SECOND_SWEEP_DELAY_MS / MINUTE_MS), 1, signal);
				}
			}
		},
	};
}
