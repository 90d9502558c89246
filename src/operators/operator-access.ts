/** The roles of operators. */
export const OperatorRole = {
	/** May run the commands that only read. */
	View: 'view',
	/** May also run the commands that change something. */
	Operate: 'operate',
} as const;

/** One of the roles in {@link OperatorRole}. */
export type OperatorRole = typeof OperatorRole[keyof typeof OperatorRole];

/** The operator who issues a command; the audit trail contains the name. */
export type OperatorIdentity = {
	readonly name: string;
	readonly role: OperatorRole;
};

/** Identifies operators by their bearer tokens. */
export type OperatorAccess = {
	/** Returns the operator with a token; undefined for an absent or unknown token. */
	identify(bearerToken: string | undefined): OperatorIdentity | undefined;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		operatorAccess: OperatorAccess;
	}
}
