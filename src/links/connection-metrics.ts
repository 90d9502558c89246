/** Why a connection was opened. */
export const OpeningCause = {
	/** Its workspace had none, and none was closed before. */
	First: 'first',
	/** Its workspace has others, all of them in use. */
	More: 'more',
	/** Its workspace had one before, which was closed or reset. */
	Reopened: 'reopened',
} as const;

/** One of the causes in {@link OpeningCause}. */
export type OpeningCause = typeof OpeningCause[keyof typeof OpeningCause];

/** Why an idle connection was closed. */
export const EvictionCause = {
	/** One was opened for another workspace in its place. */
	OtherWorkspace: 'other-workspace',
	/** It was idle among those that are left free for a pool host's successor. */
	FreeThird: 'free-third',
	/** It was idle for nearly as long as the endpoint allows. */
	Idle: 'idle',
} as const;

/** One of the causes in {@link EvictionCause}. */
export type EvictionCause = typeof EvictionCause[keyof typeof EvictionCause];

/** Metrics of the connections to one endpoint. */
export type ConnectionMetrics = {
	/** Counts a request for a connection. */
	countRequest(): void;
	countOpening(cause: OpeningCause): void;
	countEviction(cause: EvictionCause): void;
	/** Counts a connection that the endpoint rejected because it had too many connections or too much work. */
	countRejection(): void;
};
