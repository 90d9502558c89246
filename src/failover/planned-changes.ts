import {FailoverErrorCode, isFailoverError, throwSwitchRefused} from './failover-errors.js';
import type {FailoverParts} from './failover-parts.js';
import {FailoverPhase} from './failover-state.js';
import {chooseSuccessor} from './choose-successor.js';
import {switchPrimary} from './switch-primary.js';
import type {WriteHolds} from './write-holds.js';

/** Changes the primary of one group as operators and leaving hosts ask for it. */
export type PlannedChanges = {
	/** Makes that endpoint primary within `ms`; rejects with FailoverError. */
	change(target: string, ms: number): Promise<void>;
	/** Relieves a primary that is drained, stopped or leaving, and waits until it is time to look again. */
	relieve(): Promise<void>;
};

/** What {@link createPlannedChanges} needs. */
export type PlannedChangesOptions = FailoverParts & {
	readonly holds: WriteHolds;
	/** Name of this host. */
	readonly host: string;
	/** Has the primary looked at once more, after a change that failed half-way. */
	lookAgain(): void;
};

/** After this many refusals in turn the pause between two tries grows no more. */
const MOST_DOUBLINGS = 4;

/** Creates the planned changes of one group. */
export function createPlannedChanges(options: PlannedChangesOptions): PlannedChanges {
	const {clock, random, log, group, settings, knowledge, others, setState} = options;
	let switching = false;
	let changes = 0;
	let refusals = 0;

	const run = async (target: string, ms: number) => {
		changes++;
		await switchPrimary({
			...options,
			cfg: options.getCfg(),
			target,
			ms,
			holdId: `${options.host} ${group} ${changes} ${random.fraction()}`,
			async onRaised(raised) {
				const {fenceMs, promoteMs, learnMs} = raised;
				await options.announce(raised, 'planned', {
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
			options.lookAgain();
			throw isFailoverError(err) && err.code !== FailoverErrorCode.SwitchRefused ? throwSwitchRefused(err.message, err) : err;
		} finally {
			switching = false;
			setState(FailoverPhase.Watching, 'a planned change has ended');
		}
	};

	/** Relieves the primary where that is asked for; tells whether it may be left as it is now. */
	const relieveOnce = async (): Promise<boolean> => {
		const succession = others.getRank() === 0 && !switching ? chooseSuccessor({...options, cfg: options.getCfg()}) : undefined;
		if (!succession) {
			return true;
		}

		const primary = succession.primary.name;
		if (!succession.successor) {
			log.warn('found no replica to relieve the primary', {group, primary});
			return false;
		}

		try {
			await change(succession.successor.name, settings.holdMs * 2);
			return true;
		} catch (err) {
			if (!isFailoverError(err)) {
				throw err;
			}

			log.warn('could not relieve the primary', {group, primary, reason: err.message});
			return false;
		}
	};

	return {
		change,
		async relieve() {
			if (await relieveOnce()) {
				refusals = 0;
				await clock.sleep(settings.repairMs, options.stopped);
				return;
			}

			// Each try holds the group's writes for a while; tries that fail grow rare.
			await clock.sleep(settings.switchRetryMs * (2 ** refusals), options.stopped);
			refusals = Math.min(refusals + 1, MOST_DOUBLINGS);
		},
	};
}
