import type {Log} from '../log/log.js';
import {RecordKind, type MetadataStore} from '../mirror/metadata-store.js';
import {MAX_WITHOUT_STORE_MS} from '../mirror/peer-confirmation.js';
import {getGeneration} from '../mirror/store-generation.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {PlatformConflictError, PlatformError} from '../object-store/platform-errors.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {isInCurrentGeneration, type HostRecord} from './leadership-record.js';

/**
 * Keeps this host in the list of hosts that must give up their leases before a primary is replaced. Its record outlives the process: a process that is
 * restarted at the same address responds for both, and a host that never restarts is marked as unresponsive by the others.
 */
export type HostRegistration = {
	/** Registers this host if the list does not contain its present record. */
	ensureRegistered(): Promise<void>;
	/** Whether every host that still continues without the store knows this one, at the elapsed time `now`. */
	isKnownToAll(now: number): boolean;
};

/** What {@link createHostRegistration} needs. */
export type HostRegistrationOptions = {
	readonly store: MetadataStore;
	readonly mirror: StoreMirror;
	readonly log: Log;
	readonly host: HostRecord;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly random: Random;
	/** Resolves with the round-trip time to the store in milliseconds, which is registered with the host; undefined if it is unknown. No time is registered where this is absent. */
	measureStoreRtt?(): Promise<number | undefined>;
};

const STORE_TIMEOUT_MS = 900;

/**
 * An update is visible in the copy of the store by ordinary confirmations within this time, in milliseconds. Reading the store for it would cost a
 * host five more billed calls, and all hosts would do so when all start at once.
 */
const VISIBLE_WITHIN_MS = 2000;

/** Time per host of the fleet over which all hosts register again after a store restore, in milliseconds: a hundred updates per second. */
const REREGISTRATION_MS_PER_HOST = 10;

/** Creates the registration. */
export function createHostRegistration({store, mirror, log: parentLog, host, clock, elapsedClock, random, measureStoreRtt}: HostRegistrationOptions): HostRegistration {
	const log = parentLog.withPrefix('hosts: ');
	let busy = false;
	/** Elapsed time at which this process registered the host as a new one; undefined if the host was already known. */
	let registeredAt: number | undefined;
	let wasListed = false;
	let isMeasured = false;
	let writtenAt: number | undefined;

	const findOwnRecord = () => mirror.state.hosts.find(({name}) => name === host.name);

	const attempt = async (message: string, change: () => Promise<unknown>) => {
		try {
			await change();
			log.info(message, {host: host.name, address: host.peerAddress});
		} catch (err) {
			if (!(err instanceof PlatformError || err instanceof PlatformConflictError)) {
				throw err;
			}

			log.info('the registration was not changed', {wanted: message, reason: err.message});
		}
	};

	/*
	 * A host may register while others are without the store: those confirm each other's copies and do not know that they have to send
	 * requests to it. A host that finds itself registered was known before. A host that was marked as unresponsive and registers again was known all
	 * the time: a host without the store holds either its earlier record, and sends it requests, or the marked one, and then peers
	 * that are without the store as well cannot confirm its copy. Without this case a group has no primary for 9 s after hosts were marked by mistake.
	 */
	const isKnownToAll = (now: number) => registeredAt === undefined ? wasListed : now - registeredAt > MAX_WITHOUT_STORE_MS;

	const isListed = (record: HostRecord | undefined) => record !== undefined && !record.gone && record.peerAddress === host.peerAddress;

	const register = async () => {
		const record = findOwnRecord();
		const wasKnown = record?.peerAddress === host.peerAddress && (!record.gone || isKnownToAll(elapsedClock.elapsed()));
		const storeRttMs = await measureStoreRtt?.();
		const value = {...host, ...(storeRttMs !== undefined && {storeRttMs}), generation: getGeneration(mirror.state.revision)};
		await attempt('this host is registered', async () => {
			await store.putRecord(RecordKind.Hosts, {name: host.name, version: record?.version ?? 0, value}, STORE_TIMEOUT_MS);
			writtenAt = elapsedClock.elapsed();
			isMeasured = true;
			registeredAt = wasKnown ? registeredAt : elapsedClock.elapsed();
		});
	};

	/** Whether a record describes the host as the layout of the tree needs it. One that an earlier version registered does not, and is written again, once for each process. */
	const isDescribed = ({capacity, storeRttMs}: HostRecord) => !measureStoreRtt || isMeasured || (storeRttMs !== undefined && capacity === host.capacity);

	return {
		async ensureRegistered() {
			const record = findOwnRecord();
			const isUpToDate = isListed(record);
			wasListed ||= isUpToDate;
			const isUnderWay = writtenAt !== undefined && elapsedClock.elapsed() - writtenAt < VISIBLE_WITHIN_MS;
			if (busy || (isUpToDate && isInCurrentGeneration(record!, mirror.state.revision) && isDescribed(record!)) || isUnderWay || mirror.state.revision === 0) {
				return;
			}

			busy = true;
			if (isUpToDate) {
				await clock.sleep(random.fraction() * mirror.state.hosts.length * REREGISTRATION_MS_PER_HOST);
			}

			await register();
			busy = false;
		},
		isKnownToAll,
	};
}
