/** Why a connection was cut because of what its endpoint sent. */
export const LinkFault = {
	/** An answer, or a part of one, came while no request was outstanding. */
	Unmatched: 'unmatched',
	/** An error came while no request was outstanding, as before a close. */
	UnaskedError: 'unasked-error',
	/** An answer had no end, or no known state. */
	Incomplete: 'incomplete',
	UnknownLine: 'unknown-line',
	/** A line was over the size limit. */
	TooLong: 'too-long',
} as const;

/** One of the reasons in {@link LinkFault}. */
export type LinkFault = typeof LinkFault[keyof typeof LinkFault];
