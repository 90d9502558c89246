import type {EndpointPoolOptions, AcquireRequest} from './endpoint-pool.js';
import type {SessionLink} from './link-session.js';
import type {PoolConnections} from './pool-connections.js';

/** The requests of a pool that wait for a connection: decides when each gets one, and which. */
export interface RequestQueue {
	/** Number of requests that wait. */
	readonly size: number;
	/** Smoothed time of a statement at the endpoint without the wait here, in milliseconds; 0 where it is not measured. */
	readonly serviceMs: number;
	/** Returns the predicted wait of a new request of medium priority, in milliseconds; 0 where none is predicted. */
	predictWaitMs(now: number): number;
	/** Resolves with a connection, or with undefined where there is none in time. */
	acquire(request: AcquireRequest): Promise<SessionLink | undefined>;
	/** Assigns a connection that was released, or lost while it was in use. */
	noteReleased(sessionLink: SessionLink): void;
	/** Assigns a connection that was just opened for its workspace, for which it took `openMs` milliseconds. */
	noteOpened(sessionLink: SessionLink, openMs: number): void;
	/** Keeps a connection that served a command of the host's own for the requests. */
	keep(sessionLink: SessionLink): void;
	/** Notes that a connection ended, or that its opening failed. */
	noteClosed(): void;
	/** Notes that the endpoint answered, so that the congestion window may have grown. */
	noteAnswered(): void;
	/** Resolves all waiting requests without a connection. */
	failAll(): void;
}

/** What a queue needs. */
export type RequestQueueParts = Pick<EndpointPoolOptions, 'target' | 'clock' | 'log'> & {
	readonly connections: PoolConnections;
};
