import type {AcquireRequest, QueueRefusal} from '../links/endpoint-pool.js';
import type {EndpointCommand, EndpointStatus} from '../links/endpoint-link.js';
import type {EndpointLoad} from '../links/endpoint-load.js';
import type {EndpointAnswer} from '../statements/statement-answer.js';
import type {LogPosition} from '../terms/log-position.js';
import type {NeededOnWire, RequestOnWire} from './prepared-on-wire.js';

/** Reasons for which a pool host refuses a checkout. */
export const CheckoutRefusal = {
	/** No connection was released within the time that the remote host allowed. */
	Busy: 'busy',
	/** The endpoint does not answer the pool host, which should be asked again only later. */
	Unreachable: 'unreachable',
	/** The pool host holds no primary lease of the epoch that the remote host gave. */
	NoLease: 'unproven',
	/** The pool host knows that no connection will be released in time. */
	Hopeless: 'hopeless',
	/** The pool host is stopping. */
	Stopping: 'stopping',
} as const;

/** One of the reasons in {@link CheckoutRefusal}. */
export type CheckoutRefusal = typeof CheckoutRefusal[keyof typeof CheckoutRefusal];

/** A request to check out a connection to an endpoint. */
export type CheckoutRequest = {
	readonly endpointId: string;
	/** 0 is the highest priority. */
	readonly priority: number;
	/** Maximum wait for a connection, in milliseconds. */
	readonly waitMs: number;
	/** Session values; a connection that has them set is preferred. Empty where they are large. */
	readonly values: ReadonlyArray<readonly [string, string]>;
	/** Workspace whose connections may serve the request; undefined where there are no workspaces. */
	readonly workspace?: string;
	/** Weight of the workspace among those of one priority level, above 0 and at most 1; 1 where it is undefined. */
	readonly weight?: number;
	/** Key of the prepared statement that the connection is for, where it is known. */
	readonly statement?: string;
	/** Time in which the operation has to start to be within its latency target, in milliseconds; undefined where it has none. */
	readonly startInMs?: number;
	/** Names the request at its remote host, which ends it while it waits by `loan-end` with this id; undefined where it always waits to its end. */
	readonly waitId?: string;
	/** Whether the connection serves one statement that leaves no transaction open. */
	readonly single: boolean;
	/** Position that the endpoint's log must have held when the connection was opened; undefined where any log will do. */
	readonly least?: LogPosition;
};

/** The id of a checkout, which is never used twice, or why the checkout is refused. */
export type CheckoutResponse = ({readonly loan: string} | CheckoutRefused) & CheckoutLoad;

/** A refused checkout. */
export type CheckoutRefused = {
	readonly refused: CheckoutRefusal;
	/** Why the pool host refused at once, and when to come back; set for {@link CheckoutRefusal.Hopeless}. */
	readonly queue?: QueueRefusal;
};

/** The endpoint's load at the pool host, sent along with its responses where load is known beyond one host. */
export type CheckoutLoad = {readonly load?: EndpointLoad};

/** A request on a checked-out connection. */
export type CheckoutExchange = {
	readonly loan: string;
	/** Number of the request within its checkout, from 1: the next request must not run where one was lost on the way. */
	readonly turn: number;
	/** What has to be set and prepared first; undefined for a request that depends on neither. */
	readonly needed?: NeededOnWire;
	readonly request: RequestOnWire;
	/** Whether the checkout ends with the answer, where that leaves no transaction open. */
	readonly last: boolean;
};

/** A read that is sent together with its checkout request, and runs on the connection that the pool host acquires for it. */
export type CheckoutRun = CheckoutRequest & Pick<CheckoutExchange, 'needed' | 'request'> & {
	/** Epoch of the primary lease under which the read goes to a primary, which the pool host has to hold when it sends the read; undefined where it goes to a replica. */
	readonly epoch?: number;
};

/** Returns the part of a checkout request that schedules it, with relative times, at the steady time `now`. */
export function getScheduleOnWire({startBy, weight, statement}: AcquireRequest, now: number): Pick<CheckoutRequest, 'startInMs' | 'weight' | 'statement'> {
	// Without scheduling none is set, and the message stays as it was.
	return startBy === undefined && weight === undefined && statement === undefined ? {} : {startInMs: startBy === undefined ? undefined : startBy - now, weight, statement};
}

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		'loan-open': {req: CheckoutRequest; res: CheckoutResponse};
		/**
		 * Runs a request on a checked-out connection. There is no `answer` where the connection ended during the request, which may have run. `over` says that the checkout had
		 * ended before: the request was not sent to the endpoint and never will be, and a transaction that was open on the connection is rolled back.
		 */
		'loan-exchange': {req: CheckoutExchange; res: {readonly answer?: EndpointAnswer; readonly over?: true} & CheckoutLoad};
		/** Checks out a connection for one read, runs the read and ends the checkout; answered as `loan-open` where it is refused, else as `loan-exchange`. */
		'loan-run': {req: CheckoutRun; res: (CheckoutRefused | {readonly answer?: EndpointAnswer; readonly over?: true}) & CheckoutLoad};
		/** The same two for a prepared statement that pool hosts of earlier versions would change; they answer that they know no such call, so it has not run. */
		'loan-exchange-shape': PeerCalls['loan-exchange'];
		'loan-run-shape': PeerCalls['loan-run'];
		/** Returns a connection, or has it cut with all that is in flight on it; ends a request that still waits, where `loan` is its `waitId`. */
		'loan-end': {req: {readonly loan: string; readonly cut: boolean}; res: {readonly ended: true}};
		/** Asks a pool host of a group's primary for the newest log position that it saw there, and how long ago it sent the request that brought it. */
		'loan-sample': {req: {readonly group: string}; res: {readonly sample?: {readonly position: LogPosition; readonly ageMs: number}}};
		/** Sends a command to an endpoint on behalf of the remote host; answered with the endpoint's status, if one came in time. */
		'loan-ask': {req: {readonly endpointId: string; readonly command: EndpointCommand; readonly timeoutMs: number}; res: {readonly status?: EndpointStatus}};
	}
}
