/** What a group's failover is doing. */
export const FailoverPhase = {
	/** The primary answers. */
	Watching: 'watching',
	/** The primary does not answer, or there is none; not yet for long enough. */
	Suspecting: 'suspecting',
	/** Silent here, but another host reaches it, or none could be asked. */
	Contested: 'contested',
	/** Fewer servers answer than make a majority; nothing can be promoted. */
	NoMajority: 'no-majority',
	/** A promotion is under way. */
	Promoting: 'promoting',
	/** A planned change is under way. */
	Switching: 'switching',
} as const;

/** One of the phases in {@link FailoverPhase}. */
export type FailoverPhase = typeof FailoverPhase[keyof typeof FailoverPhase];

/** The state of a group's failover on this host, for operators and refusals. */
export type FailoverState = {
	readonly phase: FailoverPhase;
	/** One sentence for a person. */
	readonly reason: string;
	/** When the phase began, on the clock's `now`. */
	readonly since: number;
};

/** Moves a group's failover to a phase. */
export type SetFailoverState = (phase: FailoverPhase, reason: string) => void;
