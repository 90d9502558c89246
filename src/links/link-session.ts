import {Access, type PreparedShape} from '../statements/statement.js';
import type {AnswerCode} from '../statements/statement-answer.js';
import type {EndpointLink, EndpointRequest} from './endpoint-link.js';

/** The session values and the prepared statement that a statement needs on its connection. */
export type NeededSession = {
	/** Exactly these values must be set: a value of another caller's session must not be visible. */
	readonly values: ReadonlyMap<string, string>;
	/** A statement that must be prepared on the connection. */
	readonly prepared?: PreparedShape;
};

/** A connection to an endpoint, with the session values and prepared statements that are set on it. */
export type SessionLink = {
	readonly link: EndpointLink;
	/** The workspace for which the connection was opened, the only one that may use it; undefined where it was opened for none. */
	readonly workspace?: string;
	/** Whether a request on it waits at a pool host for a connection, which is chosen only when the request is sent. */
	readonly isSentAhead?: boolean;
	/** Returns whether exactly these values are set, so that the connection can be used without a change. */
	matches(values: ReadonlyMap<string, string>): boolean;
	/** Sends the commands that set up the session for the next statement; the endpoint answers in order, so the statement may follow at once. */
	adapt(needed: NeededSession): void;
	/** Returns the name under which a shape is prepared on connections: the same for all callers, whose own names may collide. */
	getName(shape: PreparedShape): string;
};

/** Returns the name under which a shape is prepared; it is the same on every host, since hosts share connections. */
export function getPreparedName({access, shape}: PreparedShape): string {
	return `${access === Access.Read ? 'r' : 'w'}_${shape}`;
}

/** Options of the session of a connection. */
export type SessionLinkOptions = {
	/** Workspace for which the connection was opened; undefined where it was opened for none. */
	readonly workspace?: string;
	/** Called where the endpoint refused a command that sets up the session, with the command's kind. */
	onRefused?(kind: string, code: AnswerCode): void;
};

/** Creates the session of a new connection. */
export function createSessionLink(link: EndpointLink, {workspace, onRefused}: SessionLinkOptions = {}): SessionLink {
	let values = new Map<string, string>();
	const prepared = new Set<string>();

	/**
	 * Guards against a statement that runs under values which its caller never set: where the endpoint does not accept a value, or
	 * a statement to prepare, the connection is cut before its next answer can be used.
	 */
	const send = (command: EndpointRequest['command']) => {
		void link.exchange({command}).then(answer => {
			if (answer.end.kind === 'error') {
				onRefused?.(command.kind, answer.end.code);
				link.cut();
			}
		}, () => undefined);
	};

	const reset = () => {
		send({kind: 'reset'});
		values = new Map();
		prepared.clear();
	};

	const sessionLink: SessionLink = {
		link,
		workspace,
		matches: needed => needed.size === values.size && [...needed].every(([name, value]) => values.get(name) === value),
		getName: getPreparedName,
		adapt(needed) {
			if ([...values.keys()].some(name => !needed.values.has(name))) {
				reset();
			}

			for (const [name, value] of needed.values) {
				if (values.get(name) !== value) {
					send({kind: 'set', name, value});
					values.set(name, value);
				}
			}

			if (needed.prepared) {
				const name = getPreparedName(needed.prepared);
				if (!prepared.has(name)) {
					send({kind: 'prepare', name, shape: needed.prepared});
					prepared.add(name);
				}
			}
		},
	};
	return sessionLink;
}
