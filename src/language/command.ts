import type {Durability, EndpointOrder, WorkClass} from '../groups/group-config.js';
import type {OperatorRole} from '../operators/operator-access.js';

/** The kinds of operators' commands; those that change something require the role `operate`. */
export const CommandKind = {
	Help: 'help',
	Why: 'why',
	ShowSessions: 'show-sessions',
	ShowSession: 'show-session',
	ShowEndpoints: 'show-endpoints',
	ShowGroups: 'show-groups',
	ShowHosts: 'show-hosts',
	ShowConfig: 'show-config',
	ShowChanges: 'show-changes',
	ShowOperators: 'show-operators',
	CreateGroup: 'create-group',
	DeleteGroup: 'delete-group',
	SetReadAge: 'set-read-age',
	SetDurability: 'set-durability',
	SetShares: 'set-shares',
	SetOwners: 'set-owners',
	SetKeyRetention: 'set-key-retention',
	OrderEndpoint: 'order-endpoint',
	PromoteEndpoint: 'promote-endpoint',
	CreateOperator: 'create-operator',
	DeleteOperator: 'delete-operator',
} as const;

/** One of the kinds in {@link CommandKind}. */
export type CommandKind = typeof CommandKind[keyof typeof CommandKind];

/** Lists every command, or explains the one that begins with `topic`. */
export type HelpCommand = {readonly kind: typeof CommandKind.Help; readonly topic?: string};

/** Explains a refusal or a delay by the request's id or by the ticket that its caller received. */
export type WhyCommand = {readonly kind: typeof CommandKind.Why; readonly subject: WhySubject};

/** The request id or the ticket that identifies the refusal. */
export type WhySubject = {readonly requestId: string} | {readonly ticket: string};

export type ShowSessionsCommand = {readonly kind: typeof CommandKind.ShowSessions};
export type ShowSessionCommand = {readonly kind: typeof CommandKind.ShowSession; readonly sessionId: string};
export type ShowEndpointsCommand = {readonly kind: typeof CommandKind.ShowEndpoints; readonly group?: string};
export type ShowGroupsCommand = {readonly kind: typeof CommandKind.ShowGroups};
export type ShowHostsCommand = {readonly kind: typeof CommandKind.ShowHosts};
export type ShowConfigCommand = {readonly kind: typeof CommandKind.ShowConfig; readonly group?: string};
export type ShowOperatorsCommand = {readonly kind: typeof CommandKind.ShowOperators};

/** Shows the audit trail, newest first, of all subjects, of one group or of `operators`. */
export type ShowChangesCommand = {readonly kind: typeof CommandKind.ShowChanges; readonly subject?: string; readonly last: number};

/** Creates a group with all its endpoints. */
export type CreateGroupCommand = {readonly kind: typeof CommandKind.CreateGroup; readonly group: string; readonly endpoints: readonly NewEndpoint[]};

/** An endpoint as given in the command. */
export type NewEndpoint = {
	readonly name: string;
	/** `ip:port`. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly connections: number;
	readonly slots: number;
};

export type DeleteGroupCommand = {readonly kind: typeof CommandKind.DeleteGroup; readonly group: string};
export type SetReadAgeCommand = {readonly kind: typeof CommandKind.SetReadAge; readonly group: string; readonly readAgeLimitMs: number};
export type SetDurabilityCommand = {readonly kind: typeof CommandKind.SetDurability; readonly group: string; readonly durability: Durability};
export type SetOwnersCommand = {readonly kind: typeof CommandKind.SetOwners; readonly group: string; readonly owners: number};
export type SetKeyRetentionCommand = {readonly kind: typeof CommandKind.SetKeyRetention; readonly group: string; readonly keyRetentionMs: number};

/** Sets the share of one or more classes; the other classes keep theirs. */
export type SetSharesCommand = {
	readonly kind: typeof CommandKind.SetShares;
	readonly group: string;
	readonly shares: Readonly<Partial<Record<WorkClass, number>>>;
};

/** Drains, stops or resumes an endpoint; `group` is required where two groups have an endpoint of that name. */
export type OrderEndpointCommand = {
	readonly kind: typeof CommandKind.OrderEndpoint;
	readonly endpoint: string;
	readonly group?: string;
	readonly order: EndpointOrder;
};

export type PromoteEndpointCommand = {readonly kind: typeof CommandKind.PromoteEndpoint; readonly endpoint: string; readonly group?: string};

/** Creates an operator. The token's SHA-256 hash is in lower-case hex. */
export type CreateOperatorCommand = {
	readonly kind: typeof CommandKind.CreateOperator;
	readonly operator: string;
	readonly role: OperatorRole;
	readonly tokenHash: string;
};

export type DeleteOperatorCommand = {readonly kind: typeof CommandKind.DeleteOperator; readonly operator: string};

/** A command that only reads. */
export type ViewCommand =
	| HelpCommand | WhyCommand | ShowSessionsCommand | ShowSessionCommand | ShowEndpointsCommand | ShowGroupsCommand
	| ShowHostsCommand | ShowConfigCommand | ShowChangesCommand | ShowOperatorsCommand;

/** A command that changes a group's stored object. */
export type GroupCommand =
	| CreateGroupCommand | DeleteGroupCommand | SetReadAgeCommand | SetDurabilityCommand | SetSharesCommand | SetOwnersCommand
	| SetKeyRetentionCommand | OrderEndpointCommand | PromoteEndpointCommand;

/** A command that changes the list of operators. */
export type OperatorCommand = CreateOperatorCommand | DeleteOperatorCommand;

/** A parsed command. */
export type Command = ViewCommand | GroupCommand | OperatorCommand;
