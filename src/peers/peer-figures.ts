/** Counts of what happened on the links of this host since it started. */
export type PeerFigures = {
	/** Calls made by this host. */
	calls: number;
	/** Calls that were not answered within their timeout. */
	timeouts: number;
	/** Answers dropped because their call had timed out. */
	lateAnswers: number;
	/** Answers dropped because their call had been answered. */
	duplicateAnswers: number;
	/** Answers dropped because their id was never used on the link. */
	unknownAnswers: number;
	/** Outgoing links opened. */
	linksOpened: number;
	/** Outgoing links given up because nothing was received with calls in flight. */
	linksSilent: number;
	/** Incoming links closed because they did not authenticate. */
	linksRefused: number;
};

/** Creates figures that stand at zero. */
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
