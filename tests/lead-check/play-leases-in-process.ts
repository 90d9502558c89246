import {execFile} from 'node:child_process';
import {rm} from 'node:fs/promises';
import process from 'node:process';
import {promisify} from 'node:util';
import {bundlePlayer} from './bundle-player.js';
import type {LeaseReport} from './check-lease-schedules.js';
import type {MissingGuard} from './missing-guards.js';

/** Options of {@link playLeases}. */
export type PlayLeasesOptions = {
	readonly runs: number;
	readonly seed: number;
	/** The guard that is removed from the source first. */
	readonly guard?: MissingGuard;
};

/** Maximum size of a report, in bytes. */
const MAX_REPORT_BYTES = 10_000_000;

const execute = promisify(execFile);

/** Plays random schedules of the failover lease in a process of their own, optionally without one guard. */
export async function playLeases({runs, seed, guard}: PlayLeasesOptions): Promise<LeaseReport> {
	const player = await bundlePlayer(guard, 'tests/lead-check/play-leases.ts');
	try {
		const {stdout} = await execute(process.execPath, [player, JSON.stringify({runs, seed})], {maxBuffer: MAX_REPORT_BYTES});
		return JSON.parse(stdout) as LeaseReport;
	} finally {
		await rm(player);
	}
}
