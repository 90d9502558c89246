import {throwPlatformSilent, throwVersionConflict} from '../object-store/platform-errors.js';
import type {AtRevision, MetadataStore} from './metadata-store.js';
import {getGeneration} from './store-generation.js';

/**
 * Wraps a store so that its responses never go back to an earlier generation.
 *
 * Guards against calls that were in flight while the store was restored from a backup. A response of the earlier generation that arrives after one of the new
 * generation reports state that is lost: the call rejects as unanswered. A condition on a version of the earlier generation may hold by chance, since the store assigns that
 * number again: the condition counts as not met. A change that took effect in another generation than it was meant for rejects as unanswered, so that its caller checks the outcome.
 */
export function guardGenerations(store: MetadataStore): MetadataStore {
	let newest = 0;

	const noteGeneration = (operation: string, qualified: number) => {
		const generation = getGeneration(qualified);
		if (generation < newest) {
			throwPlatformSilent(operation, new Error('the answer is of an earlier generation of the store'));
		}

		newest = generation;
	};

	const read = async <T>(operation: string, reading: Promise<AtRevision<T>>): Promise<AtRevision<T>> => {
		const found = await reading;
		noteGeneration(operation, found.revision);
		return found;
	};

	const checkVersion = (kind: string, name: string, version: number) => {
		if (version !== 0 && getGeneration(version) < newest) {
			throwVersionConflict(kind, name, version);
		}
	};

	return {
		async getRevision(timeoutMs) {
			const revision = await store.getRevision(timeoutMs);
			noteGeneration('get the revision', revision);
			return revision;
		},
		readRouting: async timeoutMs => read('read the configuration', store.readRouting(timeoutMs)),
		listEndpoints: async timeoutMs => read('list endpoints', store.listEndpoints(timeoutMs)),
		listRecords: async (kind, timeoutMs) => read(`list ${kind}`, store.listRecords(kind, timeoutMs)),
		async putRecord(kind, record, timeoutMs) {
			const {name, version} = record;
			checkVersion(kind, name, version);
			const stored = await store.putRecord(kind, record, timeoutMs);
			const operation = `put ${kind} ${name}`;
			noteGeneration(operation, stored.version);
			if (version !== 0 && getGeneration(stored.version) !== getGeneration(version)) {
				throwPlatformSilent(operation, new Error('the change took effect in another generation of the store'));
			}

			return stored;
		},
		async deleteRecord(kind, name, expectedVersion, timeoutMs) {
			checkVersion(kind, name, expectedVersion);
			await store.deleteRecord(kind, name, expectedVersion, timeoutMs);
		},
	};
}
