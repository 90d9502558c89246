import type {RefusalRecord} from './refusal-record.js';

/** Keeps the reason of every refusal and delay: in memory, in the ticket the caller gets, and batched in the platform. */
export type Explanations = {
	/** Keeps a record and returns its ticket. */
	record(record: RefusalRecord): string;
	/** Reads a ticket signed by any proxy with a current or previous key; undefined where it is none. */
	openTicket(ticket: string): RefusalRecord | undefined;
	/** Finds what is known of a request: in memory here, at peers, then in the platform. */
	find(requestId: string): Promise<readonly RefusalRecord[]>;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		explanations: Explanations;
	}
}
