import {FailoverErrorCode, isFailoverError} from './failover-errors.js';
import type {FailoverParts} from './failover-parts.js';
import {FailoverPhase} from './failover-state.js';
import {type Loss, LossKind, promoteGroup} from './promote-group.js';

/** What {@link replacePrimary} needs. */
export type ReplaceOptions = FailoverParts & {
	readonly loss: Loss;
	/** Called with a term that was raised in vain. */
	noteOwnTerm(term: number): void;
};

/** Attempts at one loss before it is looked at afresh. */
const MOST_TRIES = 5;

/**
 * Answers a confirmed loss: waits for this host's turn and promotes, again after a pause where that fails.
 *
 * Ends with a new primary, whoever raised it, or after a few attempts, so that the loss is then confirmed anew.
 */
export async function replacePrimary(options: ReplaceOptions): Promise<void> {
	const {setState, stopped} = options;
	const current = {...options, loss: await waitForTurn(options)};

	for (let tries = 0; tries < MOST_TRIES && !stopped.aborted && !isReplaced(current); tries++) {
		setState(FailoverPhase.Promoting, `replacing a primary that is ${current.loss.kind}`);
		if (await tryPromote(current, tries)) {
			return;
		}
	}
}

/**
 * The first-ranked owner acts at once; the others leave it the time to, each by a different delay.
 *
 * They go on asking the lost primary meanwhile. Where it brings no answer to the end, the loss returned is confirmed as of
 * now, and the survey need not give the suspect its whole time once more.
 */
async function waitForTurn(options: ReplaceOptions): Promise<Loss> {
	const {clock, others, settings, random, loss, stopped} = options;
	const rank = others.getRank();
	if (rank === 0) {
		return loss;
	}

	const turnMs = (rank * settings.rankDelayMs) + (random.fraction() * settings.rankJitterMs);
	const asking = loss.kind === LossKind.Unreachable && loss.endpoint ? askOn(options, loss.endpoint, clock.now() + turnMs) : true;
	const [, answered] = await Promise.all([clock.sleep(turnMs, stopped), asking]);
	return answered ? loss : {...loss, confirmedAt: clock.now()};
}

/** Asks a server until it answers, or until the time; tells whether it did. */
async function askOn({clock, control, settings, stopped}: ReplaceOptions, endpoint: string, endsAt: number): Promise<boolean> {
	while (clock.now() < endsAt && !stopped.aborted) {
		try {
			await control.status(endpoint, endsAt - clock.now());
			return true;
		} catch {
			await clock.sleep(Math.min(settings.probeRetryMs, endsAt - clock.now()), stopped);
		}
	}

	return false;
}

/** Tells whether there is a primary again: another one, or the lost one itself. */
function isReplaced({knowledge, loss}: ReplaceOptions): boolean {
	const primary = knowledge.getPrimary();
	if (!primary || loss.kind === LossKind.Vacant || knowledge.highestTerm > loss.term) {
		return primary !== undefined;
	}

	return loss.kind === LossKind.Unreachable && knowledge.get(primary.name)?.failures === 0;
}

/** Makes one attempt and tells whether it settled the loss; pauses where it did not. */
async function tryPromote(options: ReplaceOptions, tries: number): Promise<boolean> {
	const {clock, log, group, loss, stopped} = options;
	try {
		const raised = await promoteGroup({...options, cfg: options.getCfg()});
		await options.announce(raised, loss.kind, raised.parts);
		return true;
	} catch (err) {
		if (!isFailoverError(err)) {
			throw err;
		}

		log.warn('did not raise a primary', {group, reason: err.message});
		noteFailure(options, err.code, err.message);
		if (err.code === FailoverErrorCode.PrimaryStands) {
			return true;
		}

		await clock.sleep(getPauseMs(options, err.code, tries), stopped);
		return false;
	}
}

function noteFailure({knowledge, noteOwnTerm, setState}: ReplaceOptions, code: FailoverErrorCode, reason: string): void {
	if (code === FailoverErrorCode.NoMajority || code === FailoverErrorCode.Failed) {
		noteOwnTerm(knowledge.highestTerm);
	}

	const phases: Partial<Record<FailoverErrorCode, FailoverPhase>> = {
		[FailoverErrorCode.PrimaryStands]: FailoverPhase.Watching,
		[FailoverErrorCode.NoMajority]: FailoverPhase.NoMajority,
	};
	setState(phases[code] ?? FailoverPhase.Promoting, reason);
}

/**
 * How long to leave the group alone after a failed attempt.
 *
 * Two promoters that answered each other's terms at once would raise them for ever: whoever meets another one pauses
 * for longer than a whole promotion takes, each for a different time.
 */
function getPauseMs({settings, random}: ReplaceOptions, code: FailoverErrorCode, tries: number): number {
	const competing = code === FailoverErrorCode.Contested || code === FailoverErrorCode.TermPassed;
	const pauseMs = competing ? settings.competitorMs : Math.min(settings.retryMaxMs, settings.retryMinMs * (2 ** tries));
	return pauseMs * (0.5 + random.fraction());
}
