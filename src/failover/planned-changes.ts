import {FailoverErrorCode, isFailoverError, throwSwitchRefused} from './failover-errors.js';
import type {FailoverParts} from './failover-parts.js';
import {FailoverPhase} from './failover-state.js';
import {chooseSuccessor} from './choose-successor.js';
import {switchPrimary} from './switch-primary.js';
import type {WriteHolds} from './write-holds.js';

/** Changes the primary of one group as operators request it and as draining or leaving endpoints require it. */
export type PlannedChanges = {
	/** Makes that endpoint primary within `ms` milliseconds; rejects with FailoverError where that fails. */
	change(target: string, ms: number): Promise<void>;
	/** Replaces a primary that is drained, stopped or leaving; resolves when the next check is due. */
	runHandover(): Promise<void>;
};

/** Options of {@link createPlannedChanges}. */
export type PlannedChangesOptions = FailoverParts & {
	readonly holds: WriteHolds;
	/** Name of this host. */
	readonly host: string;
	/** Schedules another check of the primary after a change that failed part-way. */
	recheckPrimary(): void;
};

/** Number of consecutive failures after which the pause between two attempts no longer doubles. */
const MAX_DOUBLINGS = 4;

/** Creates the planned changes of one group. */
export function createPlannedChanges(options: PlannedChangesOptions): PlannedChanges {
	const {clock, random, log, group, settings, knowledge, others, setState} = options;
	let switching = false;
	let changes = 0;
	let failures = 0;

	const run = async (target: string, ms: number) => {
		changes++;
		await switchPrimary({
			...options,
			cfg: options.getCfg(),
			target,
			ms,
			holdId: `${options.host} ${group} ${changes} ${random.fraction()}`,
			async onPromoted(promoted) {
				const {fenceMs, promoteMs, learnMs} = promoted;
				await options.announce(promoted, 'planned', {
					detectMs: 0, claimMs: 0, fenceMs, promoteMs, learnMs,
				});
			},
		});
	};

	const change = async (target: string, ms: number) => {
		if (switching) {
			throwSwitchRefused('another planned change is under way');
		}

		switching = true;
		setState(FailoverPhase.Switching, `handing the primary's role to ${target}`);
		try {
			await run(target, ms);
		} catch (err) {
			options.recheckPrimary();
			throw isFailoverError(err) && err.code !== FailoverErrorCode.SwitchRefused ? throwSwitchRefused(err.message, err) : err;
		} finally {
			switching = false;
			setState(FailoverPhase.Watching, 'a planned change has ended');
		}
	};

	/** Replaces the primary where that is required; resolves with false where it was required but not done. */
	const handOverIfRequired = async (): Promise<boolean> => {
		const succession = others.getRank() === 0 && !switching ? chooseSuccessor({...options, cfg: options.getCfg()}) : undefined;
		if (!succession) {
			return true;
		}

		const primary = succession.primary.name;
		if (!succession.successor) {
			log.warn('found no replica that can take over from the primary', {group, primary});
			return false;
		}

		try {
			await change(succession.successor.name, settings.holdMs * 2);
			return true;
		} catch (err) {
			if (!isFailoverError(err)) {
				throw err;
			}

			log.warn('could not replace the primary as planned', {group, primary, reason: err.message});
			return false;
		}
	};

	return {
		change,
		async runHandover() {
			if (await handOverIfRequired()) {
				failures = 0;
				await clock.sleep(settings.repairMs, options.stopped);
				return;
			}

			// Each attempt holds the group's writes for a while, so the pause doubles with each failed one.
			await clock.sleep(settings.switchRetryMs * (2 ** failures), options.stopped);
			failures = Math.min(failures + 1, MAX_DOUBLINGS);
		},
	};
}
