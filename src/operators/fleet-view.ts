import type {EndpointRole} from '../endpoints/endpoint.js';
import type {EndpointOrder} from '../groups/group-config.js';
import type {LogPosition} from '../terms/log-position.js';

/** The state of the fleet for the operators' commands, queried from owners and peers. */
export type FleetView = {
	/** Returns the endpoints of one group or of all groups as their owners see them; an endpoint that no owner reported has `seen: false`. */
	getEndpoints(group?: string): Promise<readonly EndpointRow[]>;
	/** Returns the sessions that the hosts saw lately, the one seen last first. */
	getSessions(): Promise<readonly SessionRow[]>;
	/** Returns a session as the host that saw it last recorded it; undefined where no host saw it lately. */
	getSession(sessionId: string): Promise<SessionRow | undefined>;
	getHosts(): Promise<readonly HostRow[]>;
	/** Makes an endpoint the primary; resolves once it is, or with the reason why it is not. */
	promote(group: string, endpoint: string): Promise<PromoteResult>;
};

/** An endpoint as its owners see it. Times are milliseconds since the epoch. */
export type EndpointRow = {
	readonly group: string;
	readonly name: string;
	readonly address: string;
	readonly availabilityZone: string;
	readonly order: EndpointOrder;
	readonly orderedAt?: number;
	/** Whether an owner reported it. */
	readonly seen: boolean;
	/** Whether it responded to an owner's last exchange. */
	readonly reachable: boolean;
	/** Time of its last response. */
	readonly answeredAt?: number;
	/** Whether the server itself or the platform reports that it is about to leave. */
	readonly leaving: boolean;
	readonly role?: EndpointRole;
	/** Highest term it has promised. */
	readonly term?: number;
	readonly log?: LogPosition;
	/** Upper bound of the age of its data, in milliseconds. */
	readonly ageMs?: number;
	/** Number of requests and transactions that run there. */
	readonly running: number;
	/** The longest-running of them, oldest first, at most 20. */
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

/** A session as a host last recorded it. */
export type SessionRow = {
	readonly id: string;
	/** Name of the host. */
	readonly host: string;
	readonly seenAt: number;
	/** Group of its last request. */
	readonly group: string;
	readonly requestId: string;
	/** The session's floor for each group. */
	readonly floors: Readonly<Record<string, LogPosition>>;
};

/** A proxy host. */
export type HostRow = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly address: string;
	readonly state: 'live' | 'leaving';
	/** Whether it responded to this query. */
	readonly reachable: boolean;
	/** The store revision up to which it has received every change of the configuration. */
	readonly configRevision?: number;
};

/** The result of a promotion. */
export type PromoteResult = {readonly promoted: true} | {readonly promoted: false; readonly reason: string};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		fleetView: FleetView;
	}
}
