import type {Log} from '../log/log.js';
import type {LogPosition} from '../terms/log-position.js';
import type {Clock} from '../time/clock.js';
import type {EndpointHealth} from './endpoint-health.js';
import type {
	EndpointRequest, EndpointStatus, LinkOpener, LinkTarget,
} from './endpoint-link.js';
import type {LinkLimits} from './link-budget.js';
import type {SessionLink} from './link-session.js';

/** Whoever asks for a connection. */
export type LinkWish = {
	/** 0 goes first. */
	readonly priority: number;
	/** Steady time until which it waits. */
	readonly until: number;
	/** Session values; a connection that has them set is preferred. */
	readonly values: ReadonlyMap<string, string>;
	/** Workspace whose connections may serve it; undefined where there are no workspaces. */
	readonly workspace?: string;
	/** It serves one statement that leaves nothing open. */
	readonly single: boolean;
	/** It serves one read, which is sent at once and may run more than once; with the epoch of the evidence under which that goes to a primary. */
	readonly read?: {readonly epoch?: number};
	/** What the endpoint's log must have held when the connection was opened; undefined where any will do. */
	readonly least?: LogPosition;
};

/** The connections of this host to one endpoint. */
export type EndpointPool = {
	readonly target: LinkTarget;
	readonly health: EndpointHealth;
	/** Connections that are lent. */
	readonly lent: number;
	/** Requests that wait for one. */
	readonly waiting: number;
	/** Connections that are open. */
	readonly open: number;
	/** Lends a connection; undefined where none came free in time or the endpoint takes no sessions. */
	acquire(wish: LinkWish): Promise<SessionLink | undefined>;
	/** Takes a connection back: in no transaction, with nothing under way. A closed one is dropped. */
	release(sessionLink: SessionLink): void;
	/** Asks on the host's own behalf; on any open connection, or a new one. */
	ask(command: EndpointRequest['command'], timeoutMs: number): Promise<EndpointStatus>;
	/**
	 * Closes connections beyond the host's share that have been idle, so that other hosts can have them, and has an endpoint that refused
	 * connections tried again.
	 */
	keep(): void;
	/** Opens none any more and closes those that are idle. */
	retire(): void;
};

/** What a pool needs. */
export type EndpointPoolOptions = {
	readonly target: LinkTarget;
	readonly opener: LinkOpener;
	readonly clock: Clock;
	readonly log: Log;
	getLimits(): LinkLimits;
	/** What the endpoint holds at least; undefined where nothing is known of its log. */
	getLeastPosition(): LogPosition | undefined;
};
