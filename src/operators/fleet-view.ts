import type {EndpointRole} from '../endpoints/endpoint.js';
import type {EndpointOrder} from '../groups/group-config.js';
import type {LogPosition} from '../terms/log-position.js';

/** What the operators' commands need of the rest of the fleet; it asks owners and peers. */
export type FleetView = {
	/** The endpoints of one group or of all as their owners see them; an endpoint that no owner told of has `seen: false`. */
	getEndpoints(group?: string): Promise<readonly EndpointRow[]>;
	/** The sessions that the hosts saw lately, newest first. */
	getSessions(): Promise<readonly SessionRow[]>;
	/** The newest sighting of one session. */
	getSession(sessionId: string): Promise<SessionRow | undefined>;
	getHosts(): Promise<readonly HostRow[]>;
	/** Hands the primary's role to an endpoint; resolves once it has it, or with the reason why not. */
	promote(group: string, endpoint: string): Promise<PromoteAnswer>;
};

/** An endpoint as its owners see it. Times are milliseconds since the epoch. */
export type EndpointRow = {
	readonly group: string;
	readonly name: string;
	readonly address: string;
	readonly availabilityZone: string;
	readonly order: EndpointOrder;
	readonly orderedAt?: number;
	/** An owner told of it. */
	readonly seen: boolean;
	/** It answered its owner's last exchange. */
	readonly reachable: boolean;
	/** When it last answered. */
	readonly answeredAt?: number;
	/** The server's own word, or the platform's, that it is about to leave. */
	readonly leaving: boolean;
	readonly role?: EndpointRole;
	/** Highest term it has promised. */
	readonly term?: number;
	readonly log?: LogPosition;
	/** Upper bound of the age of what it holds, in milliseconds. */
	readonly ageMs?: number;
	/** Requests and transactions that run there. */
	readonly running: number;
	/** The longest-running of them, oldest first, 20 at most. */
	readonly work: readonly RunningWork[];
	readonly queued: number;
};

/** A request or transaction that runs at an endpoint. */
export type RunningWork = {
	/** `read`, `write` or `transaction`. */
	readonly what: string;
	readonly requestId: string;
	/** Name of the owner that runs it. */
	readonly host: string;
	readonly since: number;
};

/** A session as a host saw it last. */
export type SessionRow = {
	readonly id: string;
	/** Name of the host. */
	readonly host: string;
	readonly seenAt: number;
	/** Group of its last request. */
	readonly group: string;
	readonly requestId: string;
	/** For each group the session's floor. */
	readonly floors: Readonly<Record<string, LogPosition>>;
};

/** A proxy host. */
export type HostRow = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly address: string;
	readonly state: 'live' | 'leaving';
	/** It answered just now. */
	readonly reachable: boolean;
	/** Highest store revision whose configuration it has in force. */
	readonly configRevision?: number;
};

/** How a promotion ended. */
export type PromoteAnswer = {readonly promoted: true} | {readonly promoted: false; readonly reason: string};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		fleetView: FleetView;
	}
}
