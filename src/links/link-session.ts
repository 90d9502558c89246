import {Access, type PreparedShape} from '../statements/statement.js';
import type {EndpointLink, EndpointRequest} from './endpoint-link.js';

/** Session values and prepared statements that a statement needs on its connection. */
export type NeededSession = {
	/** Exactly these values must be set: a value of another caller's session must not show. */
	readonly values: ReadonlyMap<string, string>;
	/** A prepared statement that must be known. */
	readonly prepared?: PreparedShape;
};

/** A connection to an endpoint, with what was set and prepared on it. */
export type SessionLink = {
	readonly link: EndpointLink;
	/** Workspace for which the connection was opened, and which alone may use it; undefined where it was opened for none. */
	readonly workspace?: string;
	/** Whether exactly these values are set, so that lending it costs nothing. */
	matches(values: ReadonlyMap<string, string>): boolean;
	/** Sends ahead what the next statement needs; the endpoint answers in order, so the statement may follow at once. */
	adapt(needed: NeededSession): void;
	/** The name under which a shape is prepared on connections: the same for all callers, whose own names may collide. */
	getName(shape: PreparedShape): string;
};

/** Names a shape on connections, the same on every host, since hosts lend connections to each other. */
export function getPreparedName({access, shape}: PreparedShape): string {
	return `${access === Access.Read ? 'r' : 'w'}_${shape}`;
}

/** Creates the session of a fresh connection. */
export function createSessionLink(link: EndpointLink, workspace?: string): SessionLink {
	let values = new Map<string, string>();
	const prepared = new Set<string>();

	/**
	 * Guards against a statement under values that its caller never set: where the endpoint does not take a value, or
	 * a statement to prepare, the connection is cut before its next answer can be used.
	 */
	const send = (command: EndpointRequest['command']) => {
		void link.exchange({command}).then(answer => {
			if (answer.end.kind === 'error') {
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
