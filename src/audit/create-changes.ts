import type {Platform, PlatformObject} from '../object-store/platform.js';
import {PlatformConflictError, PlatformError, PlatformRefusedError} from '../object-store/platform-errors.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import {archiveOldest, isFull} from './audit-archive.js';
import type {AuditEntry} from './audit-entry.js';
import {AuditError} from './audit-errors.js';
import {
	ChangeResult, DecisionKind, touches, type AuditedKind, type AuditedObject, type Change, type ChangeAnswer, type ChangeAuthor,
} from './change.js';
import {findChange} from './find-change.js';

/** Makes accepted changes in the platform, each with its audit entry. */
export type Changes = {
	/**
	 * Tries a change until it is in force, refused, or the time is up; never rejects.
	 *
	 * @param name Name of the object in the platform.
	 */
	apply<T>(kind: AuditedKind<T>, name: string, change: Change<T>, author: ChangeAuthor): Promise<ChangeAnswer>;
};

/** Options of {@link createChanges}. */
export type ChangesOptions = {
	readonly platform: Platform;
	readonly clock: Clock;
	readonly random: Random;
	/** Told of every object read or written on the way, so that this host takes an accepted change in force at once. */
	onSeen?(object: PlatformObject): void;
};

/** Longest time that a change is tried, in milliseconds: with what comes before and the last try it stays under the 15 s that the tool waits. */
export const CHANGE_DEADLINE_MS = 6000;

const CALL_TIMEOUT_MS = 1500;

/** Pause before the next try, in milliseconds, with jitter up to twice as long. */
const PAUSE_MS = 100;

/**
 * A change comes into force everywhere within this time, in milliseconds: whoever sends another before cannot
 * have seen it.
 */
export const IN_FORCE_MS = 6000;

/** What one change remembers from try to try. */
type Attempt<T> = {
	readonly kind: AuditedKind<T>;
	readonly name: string;
	readonly change: Change<T>;
	readonly author: ChangeAuthor;
	/** Ids of the changes that stood when the change was first tried. */
	before?: ReadonlySet<string>;
	/** True once an update was sent whose answer may be lost. */
	sent: boolean;
};

/** Creates the maker of changes. */
export function createChanges({platform, clock, random, onSeen}: ChangesOptions): Changes {
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
		const kept = isFull(object.audit) ? await archiveOldest(platform, trail, object, CALL_TIMEOUT_MS) : object;
		const value = kind.format({state: object.state, audit: [...kept.audit, entry], nextArchive: kept.nextArchive});
		attempt.sent = true;
		const written = await platform.put({
			kind: kind.kind, name, value, expectedVersion: version,
		}, CALL_TIMEOUT_MS);
		onSeen?.(written);
		return written.version;
	};

	// Guards against one operator undoing another's change without knowing: a change to the same field that came in since
	// this one was first tried, or that is too young to be in force here, beats it, and the loser is told by whom and when.
	const getBeater = <T>({before, author}: Attempt<T>, audit: readonly AuditEntry[], fields: readonly string[], now: number) =>
		audit.findLast(entry => touches(entry, fields)
			&& (!before?.has(entry.changeId) || (entry.who !== author.who && entry.at > now - IN_FORCE_MS)));

	const attemptOnce = async <T>(attempt: Attempt<T>): Promise<ChangeAnswer> => {
		const {kind, name, change, author} = attempt;
		const {version, object} = await read(attempt);
		const trail = {
			kind: kind.kind, name, audit: object.audit, nextArchive: object.nextArchive,
		};
		// Guards against one change made twice: an update whose answer was lost, or the same command sent again, finds its
		// own id in the trail and is answered with what it did the first time.
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
			return {result: ChangeResult.Refused, reason: decision.reason, beatenBy: object.audit.findLast(entry => touches(entry, decision.fields))};
		}

		if (decision.kind === DecisionKind.Unchanged) {
			return {result: ChangeResult.Unchanged, by: object.audit.findLast(entry => touches(entry, decision.fields))};
		}

		const beatenBy = getBeater(attempt, object.audit, decision.fields, now);
		if (beatenBy) {
			return {result: ChangeResult.Refused, reason: 'someone else changed the same at the same time', beatenBy};
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

					await clock.sleep(PAUSE_MS * (1 + random.fraction()));
				}
			}

			return giveUp(attempt as Attempt<never>);
		},
	};
}
