/** What an operator may do. */
export const OperatorRole = {
	/** Ask and inspect. */
	View: 'view',
	/** Issue changes as well. */
	Operate: 'operate',
} as const;

/** One of the roles in {@link OperatorRole}. */
export type OperatorRole = typeof OperatorRole[keyof typeof OperatorRole];

/** Who issues a command, as the audit trail names them. */
export type OperatorIdentity = {
	readonly name: string;
	readonly role: OperatorRole;
};

/** Tells operators apart by their bearer tokens. */
export type OperatorAccess = {
	/** Returns undefined for an absent or unknown token. */
	identify(bearerToken: string | undefined): OperatorIdentity | undefined;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		operatorAccess: OperatorAccess;
	}
}
