import type {RefusalRecord} from './refusal-record.js';

/** Ring buffer of the newest records of this host, indexed by request id. */
export type RecordRing = {
	/** Adds a record. A full ring drops the oldest one. */
	add(record: RefusalRecord): void;
	/** Returns the records of one request, oldest first. */
	getRecords(requestId: string): readonly RefusalRecord[];
	/** Number of records in the ring. */
	readonly size: number;
};

/** Creates an empty ring for at most `capacity` records. */
export function createRecordRing(capacity: number): RecordRing {
	const slots: RefusalRecord[] = [];
	const byRequest = new Map<string, RefusalRecord[]>();
	let next = 0;

	const removeFromIndex = (record: RefusalRecord) => {
		const records = byRequest.get(record.requestId)!;
		if (records.length === 1) {
			byRequest.delete(record.requestId);
			return;
		}

		records.shift();
	};

	return {
		add(record) {
			const oldest = slots[next];
			if (oldest) {
				removeFromIndex(oldest);
			}

			slots[next] = record;
			next = (next + 1) % capacity;
			const records = byRequest.get(record.requestId);
			if (records) {
				records.push(record);
			} else {
				byRequest.set(record.requestId, [record]);
			}
		},
		getRecords: requestId => [...byRequest.get(requestId) ?? []],
		get size() {
			return slots.length;
		},
	};
}
