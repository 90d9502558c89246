/** Counters of events on the links of this host since it started. */
export type PeerFigures = {
	/** Calls made by this host. */
	calls: number;
	/** Calls without a response within their timeout. */
	timeouts: number;
	/** Responses dropped because their call had timed out. */
	lateAnswers: number;
	/** Responses dropped because their call already had one. */
	duplicateAnswers: number;
	/** Responses dropped because their id was never used on the link. */
	unknownAnswers: number;
	/** Outgoing links opened. */
	linksOpened: number;
	/** Outgoing links closed because nothing was received after a call. */
	linksSilent: number;
	/** Incoming links closed because they did not authenticate. */
	linksRefused: number;
};

/** Creates counters that start at zero. */
export function createPeerFigures(): PeerFigures {
	return {
		calls: 0,
		timeouts: 0,
		lateAnswers: 0,
		duplicateAnswers: 0,
		unknownAnswers: 0,
		linksOpened: 0,
		linksSilent: 0,
		linksRefused: 0,
	};
}
