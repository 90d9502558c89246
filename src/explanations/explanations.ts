import type {RefusalRecord} from './refusal-record.js';

/** Stores the reason of every refusal and delay: in memory, in the ticket that the caller receives, and in batches in the platform. */
export type Explanations = {
	/** Stores a record and returns its ticket. */
	record(record: RefusalRecord): string;
	/** Reads a ticket that any proxy signed with a current or previous key. Returns undefined if it is not a valid ticket. */
	openTicket(ticket: string): RefusalRecord | undefined;
	/** Finds the records of a request: in this host's memory, then at peers, then in the platform. */
	find(requestId: string): Promise<readonly RefusalRecord[]>;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		explanations: Explanations;
	}
}
