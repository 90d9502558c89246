import type {Log} from '../log/log.js';
import {RecordKind, type MetadataStore} from '../mirror/metadata-store.js';
import type {Versioned} from '../mirror/mirror-state.js';
import {LONGEST_WITHOUT_STORE_MS} from '../mirror/peer-help.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {EVIDENCE_MS} from './lead-evidence.js';
import type {HostRecord} from './leadership-record.js';

/**
 * Hosts that did not answer when a primary was replaced.
 *
 * Guards against a host that lives, cut off from its peers, and holds evidence of other groups: once it is asked no more, the next replacement
 * could begin while that evidence lasts. So its record stays, marked, for longer than a host goes on without the store, and as long
 * as it stays each replacement waits for the time that evidence lasts. The host registers anew once it reads the store.
 */
export type GoneHosts = {
	/** Marks a host that did not answer, so that the next replacement does not wait for it. */
	markGone(host: Versioned<HostRecord>): Promise<void>;
	/** Deletes the records of hosts that have been marked for long. */
	sweep(): Promise<void>;
};

/** What the marking needs. */
export type GoneHostsOptions = {
	readonly store: MetadataStore;
	readonly mirror: StoreMirror;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
};

/** A marked record is deleted after so long, in milliseconds: longer than a host goes on without the store, with the time that evidence lasts. */
const KEEP_MS = LONGEST_WITHOUT_STORE_MS + (2 * EVIDENCE_MS);

const STORE_TIMEOUT_MS = 900;

/** Creates the marking. */
export function createGoneHosts({store, mirror, elapsedClock, log: parentLog}: GoneHostsOptions): GoneHosts {
	const log = parentLog.part('hosts: ');
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

	const attempt = async (what: string, host: HostRecord, change: () => Promise<unknown>) => {
		try {
			await change();
			log.info(what, {host: host.name});
		} catch (err) {
			log.info('a host\'s record was not changed', {host: host.name, wanted: what, reason: (err as Error).message});
		}
	};

	return {
		async markGone(host) {
			const {version, ...record} = host;
			await attempt('a host that does not answer was marked', host, async () => store.putRecord(RecordKind.Hosts, {name: host.name, version, value: {...record, gone: true}}, STORE_TIMEOUT_MS));
		},
		async sweep() {
			const now = elapsedClock.elapsed();
			for (const host of mirror.state.hosts) {
				if (host.gone && now - (seenAt.get(host.name) ?? now) > KEEP_MS) {
					await attempt('the record of a host that is gone was deleted', host, async () => store.deleteRecord(RecordKind.Hosts, host.name, host.version, STORE_TIMEOUT_MS));
				}
			}
		},
	};
}
