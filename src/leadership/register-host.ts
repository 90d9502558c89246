import type {Log} from '../log/log.js';
import {RecordKind, type MetadataStore} from '../mirror/metadata-store.js';
import {LONGEST_WITHOUT_STORE_MS} from '../mirror/peer-help.js';
import {getGeneration} from '../mirror/store-generation.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {PlatformConflictError, PlatformError} from '../object-store/platform-errors.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {isAffirmed, type HostRecord} from './leadership-record.js';

/**
 * Keeps this host in the list of hosts that are asked before a primary is replaced. Its record outlasts the process: one that is
 * started again under the same address answers for both, and one that never is gets marked by the others.
 */
export type HostRegistration = {
	/** Registers where the list does not have this host as it is. */
	keep(): Promise<void>;
	/** Whether every host that still goes on without the store knows this one, at the elapsed time `now`. */
	isKnownToAll(now: number): boolean;
};

/** What the registration needs. */
export type HostRegistrationOptions = {
	readonly store: MetadataStore;
	readonly mirror: StoreMirror;
	readonly log: Log;
	readonly host: HostRecord;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly random: Random;
};

const STORE_TIMEOUT_MS = 900;

/**
 * What was written shows in the copy of the store with the ordinary confirmations within so long, in milliseconds. A host that read the store for
 * it would make five priced calls more, and all hosts do that when all start.
 */
const SEEN_WITHIN_MS = 2000;

/** Time that each host of the fleet adds to the one within which all register again after the store came back from a copy, in milliseconds: a hundred updates a second. */
const REPEAT_MS_PER_HOST = 10;

/** Creates the registration. */
export function createHostRegistration({store, mirror, log: parentLog, host, clock, elapsedClock, random}: HostRegistrationOptions): HostRegistration {
	const log = parentLog.part('hosts: ');
	let busy = false;
	/** Elapsed time at which this process registered the host; undefined where it found it registered. */
	let registeredAt: number | undefined;
	let found = false;
	let writtenAt: number | undefined;

	const find = () => mirror.state.hosts.find(({name}) => name === host.name);

	const attempt = async (what: string, change: () => Promise<unknown>) => {
		try {
			await change();
			log.info(what, {host: host.name, address: host.peerAddress});
		} catch (err) {
			if (!(err instanceof PlatformError || err instanceof PlatformConflictError)) {
				throw err;
			}

			log.info('the registration was not changed', {wanted: what, reason: err.message});
		}
	};

	/*
	 * Guards against a host that registered while others are without the store: they confirm each other's copies and do not know
	 * that it should be asked. One that found itself registered was known before. One that was marked and registers anew over its
	 * mark was known all the time: a host without the store either holds its record as it was, and asks it, or holds the mark, and
	 * goes on by nobody's word. Without this a group stays without a primary for 9 s after hosts were marked by mistake.
	 */
	const isKnownToAll = (now: number) => registeredAt === undefined ? found : now - registeredAt > LONGEST_WITHOUT_STORE_MS;

	const isListed = (record: HostRecord | undefined) => record !== undefined && !record.gone && record.peerAddress === host.peerAddress;

	const register = async () => {
		const record = find();
		const staysKnown = record?.peerAddress === host.peerAddress && (!record.gone || isKnownToAll(elapsedClock.elapsed()));
		const value = {...host, generation: getGeneration(mirror.state.revision)};
		await attempt('this host is registered', async () => {
			await store.putRecord(RecordKind.Hosts, {name: host.name, version: record?.version ?? 0, value}, STORE_TIMEOUT_MS);
			writtenAt = elapsedClock.elapsed();
			registeredAt = staysKnown ? registeredAt : elapsedClock.elapsed();
		});
	};

	return {
		async keep() {
			const record = find();
			const isRight = isListed(record);
			found ||= isRight;
			const isUnderWay = writtenAt !== undefined && elapsedClock.elapsed() - writtenAt < SEEN_WITHIN_MS;
			if (busy || (isRight && isAffirmed(record!, mirror.state.revision)) || isUnderWay || mirror.state.revision === 0) {
				return;
			}

			busy = true;
			if (isRight) {
				await clock.sleep(random.fraction() * mirror.state.hosts.length * REPEAT_MS_PER_HOST);
			}

			await register();
			busy = false;
		},
		isKnownToAll,
	};
}
