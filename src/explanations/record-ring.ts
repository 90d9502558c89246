import type {RefusalRecord} from './refusal-record.js';

/** The newest records of this host, in bounded memory. */
export type RecordRing = {
	/** Keeps a record; the oldest gives way. */
	add(record: RefusalRecord): void;
	/** The records of one request, oldest first. */
	getRecords(requestId: string): readonly RefusalRecord[];
	/** Records kept now. */
	readonly size: number;
};

/** Creates an empty ring for at most `capacity` records. */
export function createRecordRing(capacity: number): RecordRing {
	const slots: RefusalRecord[] = [];
	const byRequest = new Map<string, RefusalRecord[]>();
	let next = 0;

	const forget = (record: RefusalRecord) => {
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
				forget(oldest);
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
