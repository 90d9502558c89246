import type {EndpointRole} from '../endpoints/endpoint.js';
import type {PreparedShape} from '../statements/statement.js';
import type {EndpointAnswer} from '../statements/statement-answer.js';
import type {LogPosition} from '../terms/log-position.js';

/** The state that an endpoint reports about itself. */
export type EndpointStatus = {
	readonly role: EndpointRole;
	/** Term of its group, as far as the endpoint knows. */
	readonly term: number;
	/** End of the log that it has received; a replica may have applied less. */
	readonly received: LogPosition;
	/** Term of the fence that stops it from receiving, 0 without one. */
	readonly fencedTerm: number;
	/** Replication lag behind its primary, in milliseconds. */
	readonly lagMs: number;
	/** Statements of all hosts that run or wait there. */
	readonly busy: number;
	/** Open connections of all hosts. */
	readonly connections: number;
};

/** A request to an endpoint. */
export type EndpointRequest = {
	/** The caller's own id; undefined for requests of the proxy itself. */
	readonly id?: string;
	readonly command: EndpointCommand;
	/** The endpoint refuses the request as lagging where its log does not hold this position. */
	readonly floor?: LogPosition;
};

/** The commands of an endpoint. */
export type EndpointCommand =
	| {readonly kind: 'run'; readonly text: string}
	/** Runs the statement that was prepared under that name on this connection; `args` is undefined where no blank follows the name. */
	| {readonly kind: 'execute'; readonly name: string; readonly args?: string}
	| {readonly kind: 'begin'; readonly readOnly: boolean}
	| {readonly kind: 'commit'}
	| {readonly kind: 'rollback'}
	| {readonly kind: 'set'; readonly name: string; readonly value: string}
	| {readonly kind: 'prepare'; readonly name: string; readonly shape: PreparedShape}
	/** Drops a prepared statement. */
	| {readonly kind: 'close'; readonly name: string}
	/** Clears session values and prepared names. */
	| {readonly kind: 'reset'}
	| {readonly kind: 'status'}
	/** Stops a replica from receiving until it is unfenced, promoted or restarted. */
	| {readonly kind: 'fence'; readonly term: number}
	| {readonly kind: 'unfence'}
	/** Turns a primary of a lower term into a replica. */
	| {readonly kind: 'step-down'; readonly term: number};

/** One connection to an endpoint. Requests may be pipelined; the endpoint answers them in order. */
export type EndpointLink = {
	/** Log position that the endpoint reported when the connection was opened. */
	readonly firstPosition?: LogPosition;
	/** Number of requests that have no answer yet. */
	readonly pending: number;
	readonly closed: boolean;
	/** Sends a request and resolves with its answer; rejects with LinkLostError where the connection ends before the whole answer. */
	exchange(req: EndpointRequest): Promise<EndpointAnswer>;
	/** Does the same for requests that are answered with a status; rejects with LinkError for any other answer. */
	readStatus(req: EndpointRequest): Promise<EndpointStatus>;
	/** Resets the connection at once: data in flight to the endpoint is lost. */
	cut(): void;
	/** Ends the session and closes the connection after all pending data has been sent. */
	close(): void;
	/** Registers a listener that is called once, when the connection has ended. */
	onClose(listener: () => void): void;
};

/** The endpoint to which a link is opened. */
export type LinkTarget = {
	/** `ip:port`. */
	readonly address: string;
	/** Name of the group that the endpoint must serve. */
	readonly group: string;
	/** Id that the endpoint must have: another endpoint may reuse its address. */
	readonly endpointId: string;
	/** Workspace for which the endpoint runs statements; undefined for this host's own requests, and where there are no workspaces. */
	readonly workspace?: string;
};

/** Observes the traffic on a link. */
export type LinkListener = {
	/** Called when something is sent that has to be answered. */
	onSent(): void;
	/** Called when something was received, after the answers that it completes have been passed on. */
	onReceived(): void;
	/** Called when a request was answered, or rejected because too much work waits. */
	onAnswered(isRejected: boolean): void;
};

/** Opens links. */
export type LinkOpener = {
	/** Opens a link; rejects with LinkRefusedError where the endpoint refuses the session, with LinkLostError where nothing answers in time. */
	open(target: LinkTarget, timeoutMs: number, listener: LinkListener): Promise<EndpointLink>;
};
