import {AnswerCode, type EndpointAnswer} from '../statements/statement-answer.js';
import {SessionState, type PreparedShape} from '../statements/statement.js';
import type {EndpointCommand, EndpointLink, EndpointRequest} from './endpoint-link.js';
import {createLinkLost} from './link-errors.js';
import {createPreparedNames} from './prepared-names.js';
import type {SessionMetrics} from './session-metrics.js';

/** The session values and the prepared statement that a request needs on its connection. */
export type NeededSession = {
	/** Exactly these values must be set: a value of another caller's session must not be visible. */
	readonly values: ReadonlyMap<string, string>;
	/** A statement that must be prepared on the connection; an `execute` runs it. */
	readonly prepared?: PreparedShape;
};

/** A command on a connection whose session gives the prepared statement its name. */
export type SessionCommand =
	| Exclude<EndpointCommand, {readonly kind: 'execute'}>
	/** Runs the prepared statement that is needed. */
	| {readonly kind: 'execute'; readonly args?: string};

/** A request on such a connection. */
export type SessionRequest = Omit<EndpointRequest, 'command'> & {readonly command: SessionCommand};

/** A connection to an endpoint, with the session values and prepared statements that are set on it. */
export type SessionLink = {
	/** The connection itself, for commands that need no session and for its end; requests of callers go through {@link exchange}. */
	readonly link: EndpointLink;
	/** The workspace for which the connection was opened, the only one that may use it; undefined where it was opened for none. */
	readonly workspace?: string;
	/** Whether a request on it waits at a pool host for a connection, which is chosen only when the request is sent. */
	readonly isSentAhead?: boolean;
	/** Returns whether exactly these values are set, so that the connection can be used without a change. */
	matches(values: ReadonlyMap<string, string>): boolean;
	/**
	 * Sets up the session as it is needed, sends the request behind that without waiting, and resolves with its answer. Without `needed` the session is left as it is.
	 *
	 * Rejects with LinkLostError where the connection ends before the whole answer, and where the endpoint refused to set up the session: the request ran under values or
	 * statements which its caller had not set, if it ran. Where the endpoint does not know a statement that it had accepted, the connection is cut and nothing ran.
	 */
	exchange(req: SessionRequest, needed?: NeededSession): Promise<EndpointAnswer>;
};

/** Options of the session of a connection. */
export type SessionLinkOptions = {
	/** `ip:port` of the endpoint, for errors. */
	readonly address: string;
	/** Workspace for which the connection was opened; undefined where it was opened for none. */
	readonly workspace?: string;
	/** Called where the endpoint refused a command that sets up the session, with the command's kind. */
	onRefused?(kind: string, code: AnswerCode): void;
	/** Called where the endpoint does not know a statement that is prepared on the connection; `prepared` is the number of those. */
	onUnknownName?(prepared: number): void;
	readonly metrics?: SessionMetrics;
};

/** Answer to a statement of a transaction whose connection was cut because the endpoint did not know it; the endpoint rolls back. */
const ROLLED_BACK: EndpointAnswer = {
	rows: [],
	end: {
		kind: 'error', code: AnswerCode.Aborted, text: 'the endpoint did not know a prepared statement; the transaction was rolled back', isOwn: true,
	},
	state: SessionState.Idle,
};

/** Creates the session of a new connection. */
export function createSessionLink(link: EndpointLink, {address, workspace, onRefused, onUnknownName, metrics}: SessionLinkOptions): SessionLink {
	let values = new Map<string, string>();
	const prepared = createPreparedNames();
	/** Settles once every command of the session's own has been answered. */
	let setup = Promise.resolve();
	let isRefused = false;
	let isWornOut = false;
	/** Number of prepared statements that the metrics hold for this connection. */
	let counted = 0;

	const countPrepared = () => {
		const size = link.closed ? 0 : prepared.size;
		if (size !== counted) {
			metrics?.addPrepared(size - counted);
			counted = size;
		}
	};

	if (metrics) {
		link.onClose(countPrepared);
	}

	/** Sends a command of the session's own. Where the endpoint refuses it, cuts the connection before the next answer on it can be used. */
	const send = (command: EndpointCommand, onDone?: () => void) => {
		setup = link.exchange({command}).then(({end}) => {
			if (end.kind !== 'error') {
				onDone?.();
				return;
			}

			onRefused?.(command.kind, end.code);
			if (command.kind === 'close') {
				// The statement keeps its name, which is not used again.
				isWornOut = true;
				return;
			}

			isRefused = true;
			link.cut();
		}, () => undefined);
	};

	const setValues = (needed: ReadonlyMap<string, string>) => {
		if ([...values.keys()].some(name => !needed.has(name))) {
			send({kind: 'reset'}, prepared.clear().confirmReset);
			values = new Map();
			countPrepared();
		}

		for (const [name, value] of needed) {
			if (values.get(name) !== value) {
				send({kind: 'set', name, value});
				values.set(name, value);
			}
		}
	};

	/** Prepares a shape where it is not prepared, and returns its name. */
	const prepare = (shape: PreparedShape): string => {
		const found = prepared.getName(shape);
		if (found !== undefined) {
			return found;
		}

		const added = prepared.add(shape);
		if (!added) {
			link.cut();
			throw createLinkLost(address, 'no name is left for a prepared statement');
		}

		const {name, evicted} = added;
		if (evicted) {
			metrics?.countClosedStatement();
			send({kind: 'close', name: evicted.name}, evicted.confirmClosed);
		}

		send({kind: 'prepare', name, shape});
		countPrepared();
		return name;
	};

	/** Gives the request the name of the prepared statement that it runs. */
	const nameRequest = ({command, ...rest}: SessionRequest, shape: PreparedShape | undefined): EndpointRequest => {
		if (command.kind !== 'execute') {
			return {...rest, command};
		}

		if (!shape) {
			throw createLinkLost(address, 'a request runs a statement that is not given');
		}

		return {...rest, command: {kind: 'execute', name: prepare(shape), args: command.args}};
	};

	return {
		link,
		workspace,
		matches: needed => needed.size === values.size && [...needed].every(([name, value]) => values.get(name) === value),
		async exchange(req, needed) {
			if (needed) {
				setValues(needed.values);
			}

			const request = nameRequest(req, needed?.prepared);
			const setUp = setup;
			const answer = await link.exchange(request);
			// A request that was refused without being sent is answered before the commands that were sent for it.
			await setUp;
			// The endpoint may answer a refused command and the request at once, before the connection could be cut.
			if (isRefused) {
				throw createLinkLost(address, 'the endpoint refused to set up the session');
			}

			const isUnknown = req.command.kind === 'execute' && answer.end.kind === 'error' && answer.end.code === AnswerCode.UnknownStatement;
			if (isUnknown) {
				// What else the endpoint has prepared differs as well, perhaps under names that this host gives to other shapes.
				onUnknownName?.(prepared.size);
				link.cut();
				return answer.state === SessionState.Idle ? answer : ROLLED_BACK;
			}

			if (isWornOut && answer.state === SessionState.Idle) {
				link.close();
			}

			return answer;
		},
	};
}
