import {throwPlatformSilent, throwVersionConflict} from '../object-store/platform-errors.js';
import type {AtRevision, MetadataStore} from './metadata-store.js';
import {getGeneration} from './store-generation.js';

/**
 * Has a store answer in the order of its generations.
 *
 * Guards against what was under way while the store came back from a copy: an answer of before that arrives after one of the new generation tells of what is
 * lost, and a condition on a version of before may hold by chance, since its number is given out again. The first counts as no answer and the second as not met; a
 * change that took effect in another generation than the one that it was meant for counts as unanswered, so that its caller looks at what came of it.
 */
export function guardGenerations(store: MetadataStore): MetadataStore {
	let newest = 0;

	const note = (what: string, placed: number) => {
		const generation = getGeneration(placed);
		if (generation < newest) {
			throwPlatformSilent(what, new Error('the answer is of an earlier generation of the store'));
		}

		newest = generation;
	};

	const read = async <T>(what: string, reading: Promise<AtRevision<T>>): Promise<AtRevision<T>> => {
		const found = await reading;
		note(what, found.revision);
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
			note('get the revision', revision);
			return revision;
		},
		readRouting: async timeoutMs => read('read the configuration', store.readRouting(timeoutMs)),
		listEndpoints: async timeoutMs => read('list endpoints', store.listEndpoints(timeoutMs)),
		listRecords: async (kind, timeoutMs) => read(`list ${kind}`, store.listRecords(kind, timeoutMs)),
		async putRecord(kind, record, timeoutMs) {
			const {name, version} = record;
			checkVersion(kind, name, version);
			const stored = await store.putRecord(kind, record, timeoutMs);
			const what = `put ${kind} ${name}`;
			note(what, stored.version);
			if (version !== 0 && getGeneration(stored.version) !== getGeneration(version)) {
				throwPlatformSilent(what, new Error('the change took effect in another generation of the store'));
			}

			return stored;
		},
		async deleteRecord(kind, name, expectedVersion, timeoutMs) {
			checkVersion(kind, name, expectedVersion);
			await store.deleteRecord(kind, name, expectedVersion, timeoutMs);
		},
	};
}
