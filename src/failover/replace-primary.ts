import {FailoverErrorCode, isFailoverError} from './failover-errors.js';
import type {FailoverParts} from './failover-parts.js';
import {FailoverPhase} from './failover-state.js';
import {type PrimaryLoss, LossKind, promoteGroup} from './promote-group.js';

/** Options of {@link replacePrimary}. */
export type ReplaceOptions = FailoverParts & {
	readonly loss: PrimaryLoss;
	/** Called with the highest term after an attempt that promoted no primary at it. */
	setOwnTerm(term: number): void;
};

/** Attempts to replace the primary before its loss has to be confirmed again. */
const MAX_ATTEMPTS = 5;

/**
 * Handles a confirmed loss: waits for this host's turn and promotes a new primary; retries after a pause where that fails.
 *
 * Resolves once there is a new primary, whichever host promoted it, or after a few attempts, so that the loss is confirmed again.
 */
export async function replacePrimary(options: ReplaceOptions): Promise<void> {
	const {setState, stopped} = options;
	const current = {...options, loss: await waitForTurn(options)};

	for (let attempt = 0; attempt < MAX_ATTEMPTS && !stopped.aborted && !isReplaced(current); attempt++) {
		setState(FailoverPhase.Promoting, `replacing a primary that is ${current.loss.kind}`);
		if (await tryPromote(current, attempt)) {
			return;
		}
	}
}

/**
 * Waits for this host's turn: the first-ranked owner acts at once, each of the others after a delay that grows with its rank.
 *
 * Meanwhile they poll the lost primary. Where it never answers, the returned loss is confirmed as of now, and the status
 * survey does not have to wait for the suspect's answer once more.
 */
async function waitForTurn(options: ReplaceOptions): Promise<PrimaryLoss> {
	const {clock, others, settings, random, loss, stopped} = options;
	const rank = others.getRank();
	if (rank === 0) {
		return loss;
	}

	const turnMs = (rank * settings.rankDelayMs) + (random.fraction() * settings.rankJitterMs);
	const polling = loss.kind === LossKind.Unreachable && loss.endpoint ? pollUntilAnswer(options, loss.endpoint, clock.now() + turnMs) : true;
	const [, answered] = await Promise.all([clock.sleep(turnMs, stopped), polling]);
	return answered ? loss : {...loss, confirmedAt: clock.now()};
}

/** Polls a server until it answers or until `endsAt`; resolves with whether it answered. */
async function pollUntilAnswer({clock, control, settings, stopped}: ReplaceOptions, endpoint: string, endsAt: number): Promise<boolean> {
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

/** Returns whether there is a primary again: another one, or the lost one itself. */
function isReplaced({knowledge, loss}: ReplaceOptions): boolean {
	const primary = knowledge.getPrimary();
	if (!primary || loss.kind === LossKind.Vacant || knowledge.highestTerm > loss.term) {
		return primary !== undefined;
	}

	return loss.kind === LossKind.Unreachable && knowledge.get(primary.name)?.failures === 0;
}

/** Makes one attempt; resolves with whether the group has a primary again, after a pause where it has none. */
async function tryPromote(options: ReplaceOptions, attempt: number): Promise<boolean> {
	const {clock, log, group, loss, stopped} = options;
	try {
		const promoted = await promoteGroup({...options, cfg: options.getCfg()});
		await options.announce(promoted, loss.kind, promoted.stepDurations);
		return true;
	} catch (err) {
		if (!isFailoverError(err)) {
			throw err;
		}

		log.warn('did not promote a new primary', {group, reason: err.message});
		recordFailure(options, err.code, err.message);
		if (err.code === FailoverErrorCode.PrimaryExists) {
			return true;
		}

		await clock.sleep(getPauseMs(options, err.code, attempt), stopped);
		return false;
	}
}

function recordFailure({knowledge, setOwnTerm, setState}: ReplaceOptions, code: FailoverErrorCode, reason: string): void {
	if (code === FailoverErrorCode.NoMajority || code === FailoverErrorCode.Failed) {
		setOwnTerm(knowledge.highestTerm);
	}

	const phases: Partial<Record<FailoverErrorCode, FailoverPhase>> = {
		[FailoverErrorCode.PrimaryExists]: FailoverPhase.Watching,
		[FailoverErrorCode.NoMajority]: FailoverPhase.NoMajority,
	};
	setState(phases[code] ?? FailoverPhase.Promoting, reason);
}

/**
 * Returns the pause after a failed attempt, in milliseconds.
 *
 * Two promoters that each reacted to the other's term at once would raise terms without end. A promoter that meets
 * another one therefore pauses for longer than a whole promotion usually takes, and each for a different time.
 */
function getPauseMs({settings, random}: ReplaceOptions, code: FailoverErrorCode, attempt: number): number {
	const competing = code === FailoverErrorCode.Contested || code === FailoverErrorCode.TermPassed;
	const pauseMs = competing ? settings.competitorPauseMs : Math.min(settings.retryMaxMs, settings.retryMinMs * (2 ** attempt));
	return pauseMs * (0.5 + random.fraction());
}
