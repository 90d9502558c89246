/** Timing of detection, promotion and planned changes, in milliseconds. docs/notes/failover.md gives the reasons for the values. */
export type FailoverSettings = {
	/** Age of the primary's last status at which the first-ranked owner requests another one. */
	readonly primaryPollMs: number;
	/** The same age for owners of lower rank. */
	readonly standbyPollMs: number;
	/** Age of a replica's last status at which another one is requested. */
	readonly replicaPollMs: number;
	/** Time without work on this host after which a group is idle and its servers are polled less often. */
	readonly idleAfterMs: number;
	/** The same three ages for an idle group. */
	readonly idlePrimaryPollMs: number;
	readonly idleStandbyPollMs: number;
	readonly idleReplicaPollMs: number;
	/** Timeout of a status request to a server that is not suspected. */
	readonly probeMs: number;
	/** Time without an answer after which the primary is also probed on a fresh connection and other hosts are asked about it. */
	readonly freshProbeDelayMs: number;
	/** Pause between probes of a primary that refuses connections. */
	readonly probeRetryMs: number;
	/** A primary that refuses connections is suspect after this long. */
	readonly refusedMs: number;
	/** A primary that is silent on the fresh connection for this long is suspect; longer than the longest pause of a healthy process. */
	readonly silenceMs: number;
	/** Time for which another host probes a silent primary for a reachability report; on its own longer than the longest pause of a healthy process. */
	readonly witnessProbeMs: number;
	/** Time that a peer call may take in addition to the work that it requests. */
	readonly peerSlackMs: number;
	/** A wait that ends this much later than requested means that this process was paused. */
	readonly pauseSlackMs: number;
	/** Pause before reachability reports are requested again after one that did not confirm the loss. */
	readonly contestedMs: number;
	/** Time per rank that an owner waits before it acts, so that the owners ranked before it act first. */
	readonly rankDelayMs: number;
	/** Maximum random addition to the rank's delay. */
	readonly rankJitterMs: number;
	/** How long a group without a primary is left to the host that raised the term last. */
	readonly vacancyGraceMs: number;
	/** Timeout of the status survey of the group before a promotion. */
	readonly surveyMs: number;
	/** Timeout of reading and writing the claim of a term in the platform's store. */
	readonly claimMs: number;
	/** Pause after meeting another promoter, through its claim or a higher term; varied at random by half. */
	readonly competitorPauseMs: number;
	/** Timeout of fencing the group. */
	readonly fenceMs: number;
	/** How long answers to the survey are awaited after a majority; long enough for a suspect that recovered to answer on a fresh connection. */
	readonly surveyStragglerMs: number;
	/** How long further grants of a fence are awaited after a majority. */
	readonly stragglerMs: number;
	/** Timeout of promoting the candidate. */
	readonly promoteMs: number;
	/** A promoter whose fencing took longer than this was paused, and stops. */
	readonly staleFenceMs: number;
	/** Timeout for the other servers to follow the new primary. */
	readonly learnMs: number;
	/** First pause after a failed attempt; doubles up to {@link retryMaxMs}, with jitter. */
	readonly retryMinMs: number;
	readonly retryMaxMs: number;
	/** Minimum time without progress after which a reachable primary whose entries reach no majority counts as cut off from its group. */
	readonly stallMs: number;
	/** The same time as a multiple of the slowest catch-up seen in the primary's term; the longer of the two applies. */
	readonly stallFactor: number;
	/** The same time where no catch-up was seen in the primary's term. */
	readonly stallUnknownMs: number;
	/** The same age as `replicaPollMs` while a majority is behind, and the longest pause between two checks of these ages. */
	readonly stallPollMs: number;
	/** Interval of the checks whether a server must be ordered to follow the primary, and whether the primary must be replaced as planned. */
	readonly repairMs: number;
	/** How long a replica may be behind without advancing before it is ordered to follow again; doubles each time that does not help. */
	readonly repairIdleMs: number;
	/** Maximum time for which writes are held for a planned change. */
	readonly holdMs: number;
	/** First pause before a failed planned change is retried; doubles with each failure, up to 16 times as long. */
	readonly switchRetryMs: number;
};

/** The default settings. */
export const DEFAULT_FAILOVER_SETTINGS: FailoverSettings = {
	primaryPollMs: 200,
	standbyPollMs: 500,
	replicaPollMs: 1000,
	idleAfterMs: 10_000,
	idlePrimaryPollMs: 1000,
	idleStandbyPollMs: 2000,
	idleReplicaPollMs: 3000,
	probeMs: 300,
	freshProbeDelayMs: 100,
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
	competitorPauseMs: 600,
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
