import type {RateLimit} from './workspace.js';

/** Request for rate limit tokens, sent to the host that issues those of the workspace. */
export type TokenRequest = {
	readonly workspace: string;
	/** The limit in the requesting host's configuration, for an issuer whose configuration lacks the workspace. */
	readonly limit: RateLimit;
	/** Number of tokens for waiting operations. */
	readonly needed: number;
	/** Number of operations that were started without a token and are charged now. */
	readonly spent: number;
	/** Number of tokens requested in advance for expected operations; granted only while the bucket is nearly full. */
	readonly ahead: number;
};

/** Response to a {@link TokenRequest}. */
export type TokenGrant = {
	readonly tokens: number;
	/** Retry delay of operations that got no token, in milliseconds; undefined where all needed tokens were granted. */
	readonly retryAfterMs?: number;
	/** Whether the use is far below the limit: at least half of the burst is left. */
	readonly isFar?: boolean;
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		'rate-limit-take': {req: TokenRequest; res: TokenGrant};
	}
}
