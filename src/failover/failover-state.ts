/** What a group's failover is doing. */
export const FailoverPhase = {
	/** The primary answers. */
	Watching: 'watching',
	/** The primary does not answer, or there is none, but not yet for long enough to replace it. */
	Suspecting: 'suspecting',
	/** The primary does not answer this host, but another host reaches it, or no other host answered. */
	Contested: 'contested',
	/** Fewer servers than a majority answer, so none can be promoted. */
	NoMajority: 'no-majority',
	/** A promotion is in progress. */
	Promoting: 'promoting',
	/** A planned change is in progress. */
	Switching: 'switching',
} as const;

/** One of the phases in {@link FailoverPhase}. */
export type FailoverPhase = typeof FailoverPhase[keyof typeof FailoverPhase];

/** The state of a group's failover on this host, for operators and refusals. */
export type FailoverState = {
	readonly phase: FailoverPhase;
	/** One human-readable sentence. */
	readonly reason: string;
	/** When the phase began, on the clock's `now`. */
	readonly since: number;
};

/** Moves a group's failover to a phase. */
export type SetFailoverState = (phase: FailoverPhase, reason: string) => void;
