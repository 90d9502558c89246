import type {Log} from '../log/log.js';
import {RecordKind, type MetadataStore} from '../mirror/metadata-store.js';
import {getGeneration, getNextInGeneration} from '../mirror/store-generation.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {PlatformConflictError, PlatformError} from '../object-store/platform-errors.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {DUTY_NAME, type DutyRecord} from './leadership-record.js';

/** The duty to have primaries replaced, which one host at a time holds. */
export type DutyLease = {
	/** Takes or renews the duty; false where another host holds it or the store does not say. */
	take(): Promise<boolean>;
	/** The fencing token for an order that may be under way for `ms`; undefined where the duty may end before. */
	getToken(ms: number): number | undefined;
	/** The host that holds it, as far as this one can tell; undefined where nobody does. */
	getOtherHolder(): string | undefined;
};

/** What the lease needs. */
export type DutyLeaseOptions = {
	readonly store: MetadataStore;
	readonly mirror: StoreMirror;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
	readonly hostName: string;
	readonly incarnation: string;
};

/**
 * How long the duty lasts after each taking, in milliseconds of elapsed time. A replacement takes 1 to 2 s, and after the
 * death of its holder the next one waits this long.
 */
export const DUTY_LEASE_MS = 3000;

/** Others wait this much longer, in milliseconds: clocks differ in rate. */
const MARGIN_MS = 200;

const STORE_TIMEOUT_MS = 900;

/** Creates the lease. */
export function createDutyLease({store, mirror, elapsedClock, log: parentLog, hostName, incarnation}: DutyLeaseOptions): DutyLease {
	const log = parentLog.part('duty: ');
	let seenVersion = -1;
	let seenSince = 0;
	let generation = 0;
	/** Since when this host has seen the store in its generation; undefined where it never came back from a copy. */
	let returnSeenAt: number | undefined;
	let held: {readonly token: number; readonly until: number} | undefined;

	const observe = () => {
		const current = getGeneration(mirror.state.revision);
		if (current !== generation) {
			generation = current;
			returnSeenAt = elapsedClock.elapsed();
		}

		const version = mirror.state.duty?.version ?? 0;
		if (version !== seenVersion) {
			seenVersion = version;
			seenSince = elapsedClock.elapsed();
		}
	};

	mirror.onChange(observe);

	const isMine = (duty: DutyRecord | undefined) => duty?.holder === hostName && duty.incarnation === incarnation;

	const isHeld = (now: number) => held !== undefined && now < held.until;

	/**
	 * Guards against two holders at once: a store that came back from a copy may have lost the record of one whose duty lasts, and show none, another's or this host's own
	 * of before. The holder itself may renew.
	 */
	const isJustBack = (now: number) => returnSeenAt !== undefined && now - returnSeenAt < DUTY_LEASE_MS + MARGIN_MS;

	/**
	 * Guards against two holders at once: the record of another is replaced only after this host has seen it unchanged
	 * for the whole lease. The holder counts its lease from before the update that this host saw.
	 */
	const isFree = (now: number) => {
		const {duty} = mirror.state;
		if (isJustBack(now)) {
			return isHeld(now) && (isMine(duty) || getGeneration(duty?.token ?? 0) < generation);
		}

		return !duty || isMine(duty) || now - seenSince >= DUTY_LEASE_MS + MARGIN_MS;
	};

	const getNext = (now: number): DutyRecord => {
		const {duty} = mirror.state;
		const renews = isHeld(now) && (isMine(duty) || isJustBack(now));
		return {
			holder: hostName,
			incarnation,
			token: renews ? held!.token : getNextInGeneration(generation, duty?.token ?? 0),
			renewals: renews ? (duty?.renewals ?? 0) + 1 : 0,
		};
	};

	const put = async (now: number) => {
		const takenIn = generation;
		const next = getNext(now);
		const version = mirror.state.duty?.version ?? 0;
		try {
			const stored = await store.putRecord(RecordKind.Leadership, {name: DUTY_NAME, version, value: next}, STORE_TIMEOUT_MS);
			if (getGeneration(stored.version) !== takenIn) {
				log.info('the duty was not taken: the store came back from a copy meanwhile', {fence: next.token});
				return false;
			}

			held = {token: next.token, until: now + DUTY_LEASE_MS};
			log.info('the duty is held', {fence: next.token, renewals: next.renewals});
			return true;
		} catch (err) {
			if (!(err instanceof PlatformError || err instanceof PlatformConflictError)) {
				throw err;
			}

			log.info('the duty was not taken', {fence: next.token, reason: (err as Error).message});
			return false;
		} finally {
			await mirror.confirm();
		}
	};

	return {
		async take() {
			observe();
			const now = elapsedClock.elapsed();
			if (!isFree(now)) {
				return false;
			}

			return put(now);
		},
		getToken(ms) {
			return held && elapsedClock.elapsed() + ms < held.until ? held.token : undefined;
		},
		getOtherHolder() {
			observe();
			const {duty} = mirror.state;
			return isFree(elapsedClock.elapsed()) || !duty ? undefined : duty.holder;
		},
	};
}
