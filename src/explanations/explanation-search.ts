import type {RefusalRecord} from './refusal-record.js';

/** Where the records of a request were found. */
export const RecordSource = {
	/** In this host's memory. */
	Memory: 'memory',
	/** In another host's memory. */
	Peer: 'peer',
	/** In a batch in the platform. */
	Platform: 'platform',
	/** Nowhere. */
	None: 'none',
} as const;

/** One of the sources in {@link RecordSource}. */
export type RecordSource = typeof RecordSource[keyof typeof RecordSource];

/** What became of a search, so that nothing found is never taken for nothing refused. */
export type ExplanationSearchResult = {
	readonly records: readonly RefusalRecord[];
	readonly source: RecordSource;
	/** Hosts asked, this one among them. */
	readonly hostsAsked: number;
	/** Hosts that gave no answer. */
	readonly hostsSilent: number;
	/** False where the platform was asked and gave no answer. */
	readonly platformAnswered: boolean;
	/** Refusals around that time whose records were left out over the budget, or lost in an outage. */
	readonly notKept: number;
};

/** Searches as {@link Explanations.find} does, and tells how the search went. */
export type ExplanationSearch = {
	search(requestId: string): Promise<ExplanationSearchResult>;
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		/** Asks a proxy's memory for the records of a request. */
		explain: {req: {readonly requestId: string}; res: {readonly records: readonly RefusalRecord[]}};
	}
}
