/** Why a request was refused or delayed. docs/REFUSALS.md has a row for each. */
export const RefusalCode = {
	// Decided at the entry.
	Malformed: 'malformed',
	UnknownGroup: 'unknown-group',
	BadToken: 'bad-token',
	AgeOverLimit: 'age-over-limit',
	KeyExpired: 'key-expired',
	HostLeaving: 'host-leaving',
	/** An internal error of this host while it handled the request. */
	HostFault: 'host-fault',
	NoConfiguration: 'no-configuration',
	NoOwner: 'no-owner',
	RetryBudget: 'retry-budget',
	// Decided at the owner.
	QueueFull: 'queue-full',
	DeadlineTooShort: 'deadline-too-short',
	DeadlinePassed: 'deadline-passed',
	NoPrimary: 'no-primary',
	NoEndpoint: 'no-endpoint',
	NoConnection: 'no-connection',
	NotConfirmed: 'not-confirmed',
	PrimarySuperseded: 'primary-superseded',
	FloorNotReached: 'floor-not-reached',
	WriteLost: 'write-lost',
	RequestMismatch: 'request-mismatch',
	Resolved: 'resolved',
	StatementFailed: 'statement-failed',
	EndpointSilent: 'endpoint-silent',
	OwnerSilent: 'owner-silent',
	TransactionUnknown: 'transaction-unknown',
	TransactionEnded: 'transaction-ended',
	TransactionBusy: 'transaction-busy',
	InProgress: 'in-progress',
	/** Not a refusal: a request that was served, but late. */
	Delayed: 'delayed',
} as const;

/** One of the codes in {@link RefusalCode}. */
export type RefusalCode = typeof RefusalCode[keyof typeof RefusalCode];

/** The inputs of the decision, as the deciding proxy knew them. Times are milliseconds since the epoch. */
export type RefusalFacts = Readonly<Record<string, string | number | boolean | undefined>>;

/** A refusal; the caller's answer and every record of the refusal are made from it. */
export type Refusal = {
	readonly code: RefusalCode;
	/** One sentence for people to read. */
	readonly reason: string;
	/** Time after which the caller may try again, in milliseconds; undefined where trying again cannot help. */
	readonly retryAfterMs?: number;
	readonly facts: RefusalFacts;
};
