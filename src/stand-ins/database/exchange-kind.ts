/** The exchanges that a database server answers. */
export const ExchangeKind = {
	Status: 'status',
	WaitFor: 'wait-for',
	Fence: 'fence',
	Promote: 'promote',
	Follow: 'follow',
	Write: 'write',
	Resolve: 'resolve',
	Read: 'read',
	Begin: 'begin',
	Run: 'run',
	Commit: 'commit',
	Rollback: 'rollback',
	/** A command of the protocol itself: BEGIN, SET. */
	Command: 'command',
} as const;

/** One of the kinds in {@link ExchangeKind}. */
export type ExchangeKind = typeof ExchangeKind[keyof typeof ExchangeKind];
