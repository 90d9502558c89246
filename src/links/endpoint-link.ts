import type {EndpointRole} from '../endpoints/endpoint.js';
import type {PreparedShape} from '../statements/statement.js';
import type {EndpointAnswer} from '../statements/statement-answer.js';
import type {LogPosition} from '../terms/log-position.js';

/** What an endpoint says of itself. */
export type EndpointStatus = {
	readonly role: EndpointRole;
	/** Term of its group as it knows it. */
	readonly term: number;
	/** End of the log that it has received; a replica may have applied less. */
	readonly received: LogPosition;
	/** Term of the fence that stops it from receiving, 0 without one. */
	readonly fencedTerm: number;
	/** How far behind its primary it applies, in milliseconds. */
	readonly lagMs: number;
	/** Statements that run or wait there, of all hosts. */
	readonly busy: number;
	/** Connections open there, of all hosts. */
	readonly connections: number;
};

/** A statement on its way to an endpoint. */
export type EndpointRequest = {
	/** The caller's own id, or undefined for what the proxy asks itself. */
	readonly id?: string;
	readonly command: EndpointCommand;
	/** The answer is refused as lagging where the log does not hold this position. */
	readonly floor?: LogPosition;
};

/** What an endpoint can be asked. */
export type EndpointCommand =
	| {readonly kind: 'run'; readonly text: string}
	| {readonly kind: 'execute'; readonly name: string; readonly args: string}
	| {readonly kind: 'begin'; readonly readOnly: boolean}
	| {readonly kind: 'commit'}
	| {readonly kind: 'rollback'}
	| {readonly kind: 'set'; readonly name: string; readonly value: string}
	| {readonly kind: 'prepare'; readonly name: string; readonly shape: PreparedShape}
	/** Clears session values and prepared names. */
	| {readonly kind: 'reset'}
	| {readonly kind: 'status'}
	/** Stops a replica from receiving until it is let go, promoted or restarted. */
	| {readonly kind: 'fence'; readonly term: number}
	| {readonly kind: 'unfence'}
	/** Makes a primary of a lower term a replica. */
	| {readonly kind: 'step-down'; readonly term: number};

/** One connection to an endpoint. Requests may be sent ahead; the endpoint answers them in order. */
export type EndpointLink = {
	/** Position that the endpoint gave when the connection was opened. */
	readonly firstPosition?: LogPosition;
	/** Requests without an answer yet. */
	readonly pending: number;
	readonly closed: boolean;
	/** Rejects with LinkLostError where the connection ends before the whole answer. */
	exchange(req: EndpointRequest): Promise<EndpointAnswer>;
	/** Like exchange, for the requests that are answered with a status; rejects with LinkError for any other answer. */
	readStatus(req: EndpointRequest): Promise<EndpointStatus>;
	/** Cuts the connection at once, with a reset: what is still under way to the endpoint is lost. */
	cut(): void;
	/** Ends the session and closes after what was sent has gone out. */
	close(): void;
	/** Called once, when the connection has ended. */
	onClose(listener: () => void): void;
};

/** What a link is opened to. */
export type LinkTarget = {
	/** `ip:port`. */
	readonly address: string;
	/** Name of the group that the endpoint must serve. */
	readonly group: string;
	/** Id that the endpoint must have: addresses are used again by others. */
	readonly endpointId: string;
	/** Workspace for which the endpoint is to run statements; undefined for this host's own questions, and where there are no workspaces. */
	readonly workspace?: string;
};

/** Is told of traffic on a link. */
export type LinkListener = {
	/** Something goes out that has to be answered. */
	onAsked(): void;
	/** Something came, and what it completes has been handed on. */
	onHeard(): void;
	/** A request has its answer, or was turned away since too much work waits. */
	onAnswered(isTurnedAway: boolean): void;
};

/** Opens links. */
export type LinkOpener = {
	/** Rejects with LinkRefusedError where the endpoint refuses the session, with LinkLostError where nobody answers in time. */
	open(target: LinkTarget, timeoutMs: number, listener: LinkListener): Promise<EndpointLink>;
};
