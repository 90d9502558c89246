/** Times that steer detection, promotion and planned changes, in milliseconds. docs/notes/failover.md says how they were weighed. */
export type FailoverSettings = {
	/** The first-ranked owner asks the primary for its status when nothing was heard of it for this long. */
	readonly primaryPollMs: number;
	/** The same for owners of lower rank. */
	readonly standbyPollMs: number;
	/** How often replicas are asked for their status. */
	readonly replicaPollMs: number;
	/** A group without work on this host for this long is idle, and its servers are asked less often. */
	readonly idleAfterMs: number;
	/** The three times between polls for an idle group. */
	readonly idlePrimaryPollMs: number;
	readonly idleStandbyPollMs: number;
	readonly idleReplicaPollMs: number;
	/** Time a status of a server that is under no suspicion may take. */
	readonly probeMs: number;
	/** A primary that has not answered after this long is asked on a fresh connection too, and others are asked about it. */
	readonly headStartMs: number;
	/** Pause between probes of a primary that refuses. */
	readonly probeRetryMs: number;
	/** A primary that refuses connections is suspect after this long. */
	readonly refusedMs: number;
	/** A primary that is then silent for this long is suspect; more than the longest pause of a healthy process. */
	readonly silenceMs: number;
	/** Time another host takes to probe a silent primary for a second opinion; it outlasts a pause by itself. */
	readonly witnessProbeMs: number;
	/** Time a call to a peer may take besides the work it asks for. */
	readonly peerSlackMs: number;
	/** A wait that lasted this much longer than asked means that this process was paused. */
	readonly pauseSlackMs: number;
	/** Pause before another opinion is sought where a host still reached the primary. */
	readonly contestedMs: number;
	/** An owner waits this long per rank before it acts, so that the one before it can. */
	readonly rankDelayMs: number;
	/** Largest random addition to the rank's delay. */
	readonly rankJitterMs: number;
	/** How long a group without a primary is left to whoever raised the term last. */
	readonly vacancyGraceMs: number;
	/** Bound on the survey of the group before a promotion. */
	readonly surveyMs: number;
	/** Bound on claiming the term in the platform's store. */
	readonly claimMs: number;
	/** How long another host's claim of the next term is left alone. */
	readonly competitorMs: number;
	/** Bound on fencing the group. */
	readonly fenceMs: number;
	/** How long answers to the survey are awaited beyond a majority; enough for a suspect that is back to show itself on a fresh connection. */
	readonly surveyStragglerMs: number;
	/** How long grants of a fence are awaited beyond a majority. */
	readonly stragglerMs: number;
	/** Bound on promoting the candidate. */
	readonly promoteMs: number;
	/** A promoter that is not done fencing within this long was paused, and stops. */
	readonly staleFenceMs: number;
	/** Bound on the others following the new primary. */
	readonly learnMs: number;
	/** First pause after a failed attempt; doubles up to {@link retryMaxMs}, with jitter. */
	readonly retryMinMs: number;
	readonly retryMaxMs: number;
	/** A reachable primary whose entries reach no majority is cut off from its group after this long at least. */
	readonly stallMs: number;
	/** … and after this many times the slowest catch-up seen in its term. */
	readonly stallFactor: number;
	/** … or after this long where no catch-up was seen in its term. */
	readonly stallUnknownMs: number;
	/** How often replicas are asked while a majority is behind. */
	readonly stallPollMs: number;
	/** How often it is looked whether a server is to be sent to follow the primary, and whether the primary is to be relieved. */
	readonly repairMs: number;
	/** How long a replica may be behind without moving before it is sent to follow again; doubles each time it does not help. */
	readonly repairIdleMs: number;
	/** Longest time that writes are held back for a planned change. */
	readonly holdMs: number;
	/** Pause before a planned change that failed is tried again. */
	readonly switchRetryMs: number;
};

/** The settings that ship. */
export const DEFAULT_FAILOVER_SETTINGS: FailoverSettings = {
	primaryPollMs: 200,
	standbyPollMs: 500,
	replicaPollMs: 1000,
	idleAfterMs: 10_000,
	idlePrimaryPollMs: 1000,
	idleStandbyPollMs: 2000,
	idleReplicaPollMs: 3000,
	probeMs: 300,
	headStartMs: 100,
	probeRetryMs: 40,
	refusedMs: 100,
	silenceMs: 600,
	witnessProbeMs: 600,
	peerSlackMs: 100,
	pauseSlackMs: 50,
	contestedMs: 1000,
	rankDelayMs: 400,
	rankJitterMs: 200,
	vacancyGraceMs: 600,
	surveyMs: 300,
	claimMs: 75,
	competitorMs: 600,
	fenceMs: 300,
	surveyStragglerMs: 40,
	stragglerMs: 10,
	promoteMs: 300,
	staleFenceMs: 1000,
	learnMs: 500,
	retryMinMs: 200,
	retryMaxMs: 2000,
	stallMs: 2000,
	stallFactor: 4,
	stallUnknownMs: 10_000,
	stallPollMs: 200,
	repairMs: 300,
	repairIdleMs: 1500,
	holdMs: 2000,
	switchRetryMs: 2000,
};
