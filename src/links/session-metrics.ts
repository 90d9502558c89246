/** Metrics of the sessions that a host sets up on its connections to endpoints. */
export type SessionMetrics = {
	/** Counts a command that sets up a session and that an endpoint refused, by the kind of the command. */
	countRefusedCommand(command: string): void;
	/** Counts a prepared statement that an endpoint did not know, although it had accepted it on that connection. */
	countUnknownName(): void;
	/** Counts a prepared statement that was closed on its connection to make room for another. */
	countClosedStatement(): void;
	/** Adds to the number of statements that are prepared on the host's connections; negative where there are fewer. */
	addPrepared(change: number): void;
};
