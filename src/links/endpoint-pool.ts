import type {Log} from '../log/log.js';
import type {LogPosition} from '../terms/log-position.js';
import type {Clock} from '../time/clock.js';
import type {EndpointHealth} from './endpoint-health.js';
import type {
	EndpointRequest, EndpointStatus, LinkOpener, LinkTarget,
} from './endpoint-link.js';
import type {CongestionWindow} from './congestion-window.js';
import type {ConnectionPolicy} from './connection-policy.js';
import type {EndpointLoad} from './endpoint-load.js';
import type {LinkLimits} from './link-budget.js';
import type {SessionLink} from './link-session.js';
import type {SessionMetrics} from './session-metrics.js';
import type {WaiterOrder} from './waiter-order.js';

/** A request to acquire a connection. */
export type AcquireRequest = {
	/** 0 is the highest priority. */
	readonly priority: number;
	/** Steady time until which the request waits. */
	readonly until: number;
	/** Session values; a connection that has them set is preferred. */
	readonly values: ReadonlyMap<string, string>;
	/** Workspace whose connections may serve the request; undefined where there are no workspaces. */
	readonly workspace?: string;
	/** Weight of the workspace among those of one priority level, above 0 and at most 1; 1 where it is undefined. */
	readonly weight?: number;
	/** Key of the prepared statement that the connection is for, where it is known; its usual time is expected of the request. */
	readonly statement?: string;
	/** Whether the connection serves one statement that leaves no transaction open. */
	readonly single: boolean;
	/** Set where the connection serves one read, which is sent at once and may run more than once; `epoch` is that of the primary lease under which the read goes to a primary. */
	readonly read?: {readonly epoch?: number};
	/** Position that the endpoint's log must have held when the connection was opened; undefined where any log will do. */
	readonly minPosition?: LogPosition;
	/** Steady time by which the operation has to start to be within its latency target; undefined where it has none. */
	readonly startBy?: number;
	/** Returns whether somebody still waits for the connection; a request that nobody waits for gives up its place soon. By default somebody always does. */
	isWanted?(): boolean;
	/** Called, before the request resolves without a connection, where the pool knows at once that there will be none in time. */
	onRefused?(refusal: QueueRefusal): void;
};

/** Why a pool refused a request before its time was over. */
export type QueueRefusal = {
	readonly reason: string;
	/** Time after which the caller may try again, in milliseconds. */
	readonly retryAfterMs: number;
	/** Wait that was predicted for the request, in milliseconds. */
	readonly predictedWaitMs: number;
	/** Number of requests that waited in the pool; undefined where the pool does not say. */
	readonly queued?: number;
	/** Number of statements that the pool could have in flight at the endpoint; undefined where the pool does not say. */
	readonly limit?: number;
};

/** The connections of this host to one endpoint. */
export type EndpointPool = {
	readonly target: LinkTarget;
	readonly health: EndpointHealth;
	/** Connections that are acquired. */
	readonly inUse: number;
	/** Requests that wait for a connection. */
	readonly waiting: number;
	/** Connections that are open. */
	readonly open: number;
	/** Returns the endpoint's load from this pool's point of view at the steady time `now`. */
	getLoad(now: number): EndpointLoad;
	/** Resolves with a connection, or with undefined where none came free in time or the endpoint refuses sessions. */
	acquire(request: AcquireRequest): Promise<SessionLink | undefined>;
	/** Returns a connection to the pool; it must be in no transaction, with no request in flight. A closed one is dropped. */
	release(sessionLink: SessionLink): void;
	/** Sends a command of the host's own, on any open connection or a new one, and resolves with the endpoint's status. */
	sendCommand(command: EndpointRequest['command'], timeoutMs: number): Promise<EndpointStatus>;
	/** Opens a connection and closes it again; rejects with LinkError where the endpoint does not accept it in time. */
	greet(timeoutMs: number): Promise<void>;
	/** Closes connections that have been idle for too long, so that other hosts can open them, and tries a suspected endpoint again. */
	maintain(): void;
	/** Closes idle connections; no more are opened, and acquired ones are closed once they are released. */
	retire(): void;
};

/** What a pool needs. */
export type EndpointPoolOptions = {
	readonly target: LinkTarget;
	readonly opener: LinkOpener;
	readonly clock: Clock;
	readonly log: Log;
	/** Bounds what is in flight at the endpoint; by default a window that shrinks when the endpoint rejects statements. */
	readonly window?: CongestionWindow;
	/** Order of the waiters; by default that of arrival within a priority. */
	readonly order?: WaiterOrder;
	/** Decides which connections are opened and closed; by default the one that was idle longest is closed. */
	readonly connections?: ConnectionPolicy;
	readonly sessionMetrics?: SessionMetrics;
	getLimits(): LinkLimits;
	/** Whether the endpoint's commits wait for other endpoints, for as long as those take. */
	waitsForReplicas?(): boolean;
	/** Returns the position that the endpoint's log holds at least; undefined where nothing is known of its log. */
	getMinPosition(): LogPosition | undefined;
};
