import type {RefusalRecord} from './refusal-record.js';

/** Where the records of a request were found. */
export const RecordSource = {
	/** In this host's memory. */
	Memory: 'memory',
	/** In another host's memory. */
	Peer: 'peer',
	/** In a batch in the platform. */
	Platform: 'platform',
	/** No records were found. */
	None: 'none',
} as const;

/** One of the sources in {@link RecordSource}. */
export type RecordSource = typeof RecordSource[keyof typeof RecordSource];

/** Result of a search. It states which sources did not answer, so that an empty result is not taken to mean that nothing was refused. */
export type ExplanationSearchResult = {
	readonly records: readonly RefusalRecord[];
	readonly source: RecordSource;
	/** Number of queried hosts, including this one. */
	readonly hostsAsked: number;
	/** Number of hosts that did not answer, including those that were not queried within the time limit. */
	readonly hostsSilent: number;
	/** False if the platform was queried and did not answer. */
	readonly platformAnswered: boolean;
	/** Number of refusals around that time whose records were omitted to stay within the limits, or lost in an outage. */
	readonly notKept: number;
};

/** Searches like {@link Explanations.find}, and also reports which sources were queried and answered. */
export type ExplanationSearch = {
	search(requestId: string): Promise<ExplanationSearchResult>;
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		/** Requests the records of a request from a proxy's memory. */
		explain: {req: {readonly requestId: string}; res: {readonly records: readonly RefusalRecord[]}};
	}
}
