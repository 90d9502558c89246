import type {Log} from '../log/log.js';
import {RecordKind, type MetadataStore} from '../mirror/metadata-store.js';
import type {Versioned} from '../mirror/mirror-state.js';
import {MAX_WITHOUT_STORE_MS} from '../mirror/peer-confirmation.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {PRIMARY_LEASE_MS} from './primary-leases.js';
import type {HostRecord} from './leadership-record.js';

/**
 * Marks hosts that did not respond as unresponsive, and deletes their records later.
 *
 * Such a host may be running, cut off from its peers, and hold leases of other groups. Once no more requests are sent to it, the next replacement
 * could promote an endpoint while such a lease is valid. So its record stays, marked, for longer than a host may continue without the store, and
 * while it is there each replacement waits for the duration of a primary lease. The host registers again once it reads the store.
 */
export type UnresponsiveHosts = {
	/** Marks a host that did not respond, so that the next replacement sends it no request. */
	mark(host: Versioned<HostRecord>): Promise<void>;
	/** Deletes the records of hosts that have been marked for longer than {@link RETENTION_MS}. */
	sweep(): Promise<void>;
};

/** What {@link createUnresponsiveHosts} needs. */
export type UnresponsiveHostsOptions = {
	readonly store: MetadataStore;
	readonly mirror: StoreMirror;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
};

/** A marked record is deleted after this time, in milliseconds: longer than a host may continue without the store plus the duration of a primary lease. */
const RETENTION_MS = MAX_WITHOUT_STORE_MS + (2 * PRIMARY_LEASE_MS);

const STORE_TIMEOUT_MS = 900;

/** Creates the marking of unresponsive hosts. */
export function createUnresponsiveHosts({store, mirror, elapsedClock, log: parentLog}: UnresponsiveHostsOptions): UnresponsiveHosts {
	const log = parentLog.withPrefix('hosts: ');
	const seenAt = new Map<string, number>();

	const observe = () => {
		const gone = mirror.state.hosts.filter(host => host.gone);
		for (const name of seenAt.keys()) {
			if (!gone.some(host => host.name === name)) {
				seenAt.delete(name);
			}
		}

		for (const {name} of gone) {
			seenAt.set(name, seenAt.get(name) ?? elapsedClock.elapsed());
		}
	};

	mirror.onChange(observe);

	const attempt = async (message: string, host: HostRecord, change: () => Promise<unknown>) => {
		try {
			await change();
			log.info(message, {host: host.name});
		} catch (err) {
			log.info('a host\'s record was not changed', {host: host.name, wanted: message, reason: (err as Error).message});
		}
	};

	return {
		async mark(host) {
			const {version, ...record} = host;
			await attempt('an unresponsive host was marked', host, async () => store.putRecord(RecordKind.Hosts, {name: host.name, version, value: {...record, gone: true}}, STORE_TIMEOUT_MS));
		},
		async sweep() {
			const now = elapsedClock.elapsed();
			for (const host of mirror.state.hosts) {
				if (host.gone && now - (seenAt.get(host.name) ?? now) > RETENTION_MS) {
					await attempt('the record of an unresponsive host was deleted', host, async () => store.deleteRecord(RecordKind.Hosts, host.name, host.version, STORE_TIMEOUT_MS));
				}
			}
		},
	};
}
