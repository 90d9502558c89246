import type {Log} from '../log/log.js';
import {RecordKind, type MetadataStore} from '../mirror/metadata-store.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {PlatformConflictError, PlatformError} from '../object-store/platform-errors.js';
import type {HostRecord} from './leadership-record.js';

/** Keeps this host in the list of hosts that are asked before a primary is replaced. */
export type HostRegistration = {
	/** Registers where the list does not have this host as it is. */
	keep(): Promise<void>;
	/** Takes this host out of the list; it must use no evidence any more. */
	end(): Promise<void>;
};

/** What the registration needs. */
export type HostRegistrationOptions = {
	readonly store: MetadataStore;
	readonly mirror: StoreMirror;
	readonly log: Log;
	readonly host: HostRecord;
};

const STORE_TIMEOUT_MS = 900;

/** Creates the registration. */
export function createHostRegistration({store, mirror, log: parentLog, host}: HostRegistrationOptions): HostRegistration {
	const log = parentLog.part('hosts: ');
	let busy = false;

	const find = () => mirror.state.hosts.find(({name}) => name === host.name);

	const attempt = async (what: string, change: () => Promise<unknown>) => {
		try {
			await change();
			log.info(what, {host: host.name, address: host.peerAddress});
			await mirror.confirm();
		} catch (err) {
			if (!(err instanceof PlatformError || err instanceof PlatformConflictError)) {
				throw err;
			}

			log.info('the registration was not changed', {wanted: what, reason: err.message});
		}
	};

	return {
		async keep() {
			const found = find();
			const isRight = found !== undefined && !found.gone && found.peerAddress === host.peerAddress;
			if (busy || isRight || mirror.state.revision === 0) {
				return;
			}

			busy = true;
			await attempt('this host is registered', async () => store.putRecord(RecordKind.Hosts, {name: host.name, version: found?.version ?? 0, value: host}, STORE_TIMEOUT_MS));
			busy = false;
		},
		async end() {
			const found = find();
			if (found) {
				await attempt('this host is no longer registered', async () => store.deleteRecord(RecordKind.Hosts, host.name, found.version, STORE_TIMEOUT_MS));
			}
		},
	};
}
