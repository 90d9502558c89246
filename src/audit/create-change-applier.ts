import type {Platform, PlatformObject} from '../object-store/platform.js';
import {PlatformConflictError, PlatformError, PlatformRefusedError} from '../object-store/platform-errors.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import {archiveOldest, isArchivingDue} from './audit-archive.js';
import type {AuditEntry} from './audit-entry.js';
import {AuditError} from './audit-errors.js';
import {
	ChangeResult, DecisionKind, affectsAnyField, type AuditedKind, type AuditedObject, type Change, type ChangeAnswer, type ChangeAuthor,
} from './change.js';
import {findChange} from './find-change.js';

/** Applies accepted changes to objects in the platform, each together with its audit entry. */
export type ChangeApplier = {
	/**
	 * Retries a change until it is in force or refused, or until {@link CHANGE_DEADLINE_MS} has passed. Platform errors do
	 * not reject but lead to a refused or unknown result.
	 *
	 * @param name Name of the object in the platform.
	 */
	apply<T>(kind: AuditedKind<T>, name: string, change: Change<T>, author: ChangeAuthor): Promise<ChangeAnswer>;
};

/** Options of {@link createChangeApplier}. */
export type ChangeApplierOptions = {
	readonly platform: Platform;
	readonly clock: Clock;
	readonly random: Random;
	/** Called with every object that is read or written, so that an accepted change comes into force on this host at once. */
	onSeen?(object: PlatformObject): void;
};

/** Maximum time for which a change is retried, in milliseconds. Together with the steps before and the last attempt it stays under the 15 s for which the command-line tool waits. */
export const CHANGE_DEADLINE_MS = 6000;

const CALL_TIMEOUT_MS = 1500;

/** Minimum delay before the next attempt, in milliseconds; jitter makes it up to twice as long. */
const RETRY_DELAY_MS = 100;

/**
 * A change comes into force on every host within this time, in milliseconds. An operator who sends another change
 * before that may not have seen the first one.
 */
export const IN_FORCE_MS = 6000;

/** The state of one change across its attempts. */
type Attempt<T> = {
	readonly kind: AuditedKind<T>;
	readonly name: string;
	readonly change: Change<T>;
	readonly author: ChangeAuthor;
	/** Ids of the changes in the object's trail at the first attempt. */
	before?: ReadonlySet<string>;
	/** True once an update was sent, whose response may be lost. */
	sent: boolean;
};

/** Creates the service that applies changes. */
export function createChangeApplier({platform, clock, random, onSeen}: ChangeApplierOptions): ChangeApplier {
	const read = async <T>({kind, name}: Attempt<T>) => {
		const stored = await platform.get(kind.kind, name, CALL_TIMEOUT_MS);
		if (stored) {
			onSeen?.(stored);
		}

		const object: AuditedObject<T> = stored ? kind.parse(stored.value) : {state: undefined, audit: [], nextArchive: 0};
		return {version: stored?.version ?? 0, object};
	};

	const write = async <T>(attempt: Attempt<T>, version: number, object: AuditedObject<T>, entry: AuditEntry) => {
		const {kind, name} = attempt;
		const trail = {kind: kind.kind, name};
		const live = isArchivingDue(object.audit) ? await archiveOldest(platform, trail, object, CALL_TIMEOUT_MS) : object;
		const value = kind.format({state: object.state, audit: [...live.audit, entry], nextArchive: live.nextArchive});
		attempt.sent = true;
		const written = await platform.put({
			kind: kind.kind, name, value, expectedVersion: version,
		}, CALL_TIMEOUT_MS);
		onSeen?.(written);
		return written.version;
	};

	// Guards against one operator unknowingly undoing another's change. This change is refused if another one to the same
	// field was accepted since its first attempt, or is by another author and too recent to be in force on every host. The
	// refusal names the author and the time.
	const findConflict = <T>({before, author}: Attempt<T>, audit: readonly AuditEntry[], fields: readonly string[], now: number) =>
		audit.findLast(entry => affectsAnyField(entry, fields)
			&& (!before?.has(entry.changeId) || (entry.who !== author.who && entry.at > now - IN_FORCE_MS)));

	const attemptOnce = async <T>(attempt: Attempt<T>): Promise<ChangeAnswer> => {
		const {kind, name, change, author} = attempt;
		const {version, object} = await read(attempt);
		const trail = {
			kind: kind.kind, name, audit: object.audit, nextArchive: object.nextArchive,
		};
		// Guards against a change that is applied twice: after an update whose response was lost, or for a command that was
		// sent again, the trail contains the change id, and the answer is the result of the first time.
		const earlier = await findChange(platform, trail, author.changeId, CALL_TIMEOUT_MS);
		if (earlier) {
			return earlier.what === change.what
				? {
					result: ChangeResult.Applied, entry: earlier, version, repeated: !attempt.sent,
				}
				: {result: ChangeResult.Refused, reason: `the change id stands for another command: ${earlier.what}`, beatenBy: earlier};
		}

		attempt.before ??= new Set(object.audit.map(entry => entry.changeId));
		const now = clock.wall();
		const decision = change.decide(object.state, now);
		if (decision.kind === DecisionKind.Refuse) {
			return {result: ChangeResult.Refused, reason: decision.reason, beatenBy: object.audit.findLast(entry => affectsAnyField(entry, decision.fields))};
		}

		if (decision.kind === DecisionKind.Unchanged) {
			return {result: ChangeResult.Unchanged, by: object.audit.findLast(entry => affectsAnyField(entry, decision.fields))};
		}

		const conflict = findConflict(attempt, object.audit, decision.fields, now);
		if (conflict) {
			return {result: ChangeResult.Refused, reason: 'someone else changed the same at the same time', beatenBy: conflict};
		}

		const {from, to, state} = decision;
		const entry: AuditEntry = {
			changeId: author.changeId, at: now, who: author.who, what: change.what, from: from ?? null, to: to ?? null,
		};
		const writtenVersion = await write(attempt, version, {...object, state}, entry);
		return {
			result: ChangeResult.Applied, entry, version: writtenVersion, repeated: false,
		};
	};

	const giveUp = ({sent}: Attempt<never>): ChangeAnswer => sent
		? {result: ChangeResult.Unknown, reason: 'the platform gave no answer: the change may be in force, or come into force yet'}
		: {result: ChangeResult.Refused, reason: 'the platform gives no answer, and this host sent it nothing to change'};

	return {
		async apply<T>(kind: AuditedKind<T>, name: string, change: Change<T>, author: ChangeAuthor) {
			const attempt: Attempt<T> = {
				kind, name, change, author, sent: false,
			};
			const until = clock.now() + CHANGE_DEADLINE_MS;
			while (clock.now() < until) {
				try {
					return await attemptOnce(attempt);
				} catch (err) {
					if (err instanceof AuditError || err instanceof PlatformRefusedError) {
						return {result: ChangeResult.Refused, reason: err.message};
					}

					if (!(err instanceof PlatformError || err instanceof PlatformConflictError)) {
						throw err;
					}

					await clock.sleep(RETRY_DELAY_MS * (1 + random.fraction()));
				}
			}

			return giveUp(attempt as Attempt<never>);
		},
	};
}
