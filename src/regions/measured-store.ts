import type {MetadataStore} from '../mirror/metadata-store.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';

/** Wraps the client of the store; `onRoundTrip` is called with the duration of each small call that succeeded, in milliseconds. */
export function measureStore(store: MetadataStore, elapsedClock: ElapsedClock, onRoundTrip: (ms: number) => void): MetadataStore {
	const measure = async <T>(call: Promise<T>): Promise<T> => {
		const sentAt = elapsedClock.elapsed();
		const result = await call;
		onRoundTrip(elapsedClock.elapsed() - sentAt);
		return result;
	};

	return {
		getRevision: async timeoutMs => measure(store.getRevision(timeoutMs)),
		// The lists are large enough for the time of their transfer to count.
		readRouting: async timeoutMs => store.readRouting(timeoutMs),
		listEndpoints: async timeoutMs => store.listEndpoints(timeoutMs),
		listRecords: async (kind, timeoutMs) => store.listRecords(kind, timeoutMs),
		putRecord: async (kind, record, timeoutMs) => measure(store.putRecord(kind, record, timeoutMs)),
		deleteRecord: async (kind, name, version, timeoutMs) => store.deleteRecord(kind, name, version, timeoutMs),
	};
}
