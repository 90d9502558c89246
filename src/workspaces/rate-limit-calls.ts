import type {RateLimit} from './workspace.js';

/** Asks the host that counts a workspace's operations for tokens. */
export type TokenRequest = {
	readonly workspace: string;
	/** The limit as the asking host knows it, for one that does not know the workspace yet. */
	readonly limit: RateLimit;
	/** Tokens for operations that wait. */
	readonly needed: number;
	/** Operations that run already. */
	readonly spent: number;
	/** Tokens for operations to come, granted only while the limit is far. */
	readonly ahead: number;
};

/** What was granted. */
export type TokenGrant = {
	readonly tokens: number;
	/** When to come back with an operation that got none, in milliseconds; undefined where all that were needed were granted. */
	readonly retryAfterMs?: number;
	/** The limit is far: much of the burst is left. */
	readonly isFar?: boolean;
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		'rate-limit-take': {req: TokenRequest; res: TokenGrant};
	}
}
