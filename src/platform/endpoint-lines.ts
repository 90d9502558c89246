import {EndpointRole} from '../endpoints/endpoint.js';
import type {EndpointCommand, EndpointRequest, EndpointStatus} from '../links/endpoint-link.js';
import {Access} from '../statements/statement.js';
import {getServerId} from './endpoint-identity.js';
import {formatLineField} from './line-field.js';
import {formatPosition, parsePosition} from './position-text.js';

/** The id of requests that the proxy sends on its own behalf rather than for a caller. */
const PROXY_REQUEST_ID = '-';

/**
 * Formats the first message to an endpoint. It has the form of a caller's: the group takes the place of the database, and the name of whom the connection is
 * for takes that of the key.
 */
export function formatStartup(group: string, onBehalfOf: string, endpointId: string): string {
	return `STARTUP ${group} ${formatLineField(onBehalfOf)} ${getServerId(endpointId)}\r\n`;
}

/** Formats a request to an endpoint. */
export function formatRequest({id = PROXY_REQUEST_ID, command, floor}: EndpointRequest): string {
	const prefix = floor ? `AFTER ${formatPosition(floor)} ` : '';
	return `QUERY ${id} ${prefix}${formatCommand(command)}\r\n`;
}

function formatCommand(command: EndpointCommand): string {
	switch (command.kind) {
		case 'run': {
			return command.text;
		}

		case 'execute': {
			return command.args === undefined ? `EXECUTE ${command.name}` : `EXECUTE ${command.name} ${command.args}`;
		}

		case 'begin': {
			return command.readOnly ? 'BEGIN READ' : 'BEGIN';
		}

		case 'set': {
			return `SET ${command.name} ${command.value}`;
		}

		case 'prepare': {
			return `PARSE ${command.name} ${command.shape.access === Access.Read ? 'READ' : 'WRITE'} ${command.shape.shape}`;
		}

		case 'close': {
			return `CLOSE ${command.name}`;
		}

		case 'fence': {
			return `PAUSE ${command.term}`;
		}

		case 'step-down': {
			return `STEPDOWN ${command.term}`;
		}

		case 'commit':
		case 'rollback':
		case 'reset':
		case 'status':
		case 'unfence': {
			return PLAIN_COMMANDS[command.kind];
		}
	}
}

const PLAIN_COMMANDS = {
	commit: 'COMMIT',
	rollback: 'ROLLBACK',
	reset: 'RESET',
	status: 'STATUS',
	unfence: 'RESUME',
} as const;

/**
 * Parses the row that answers a status request: role, term, position received, term of the fence, lag, busy, connections. Returns undefined if the role
 * or the position is invalid.
 */
export function parseStatusRow(row: string): EndpointStatus | undefined {
	const [role, term, received, fencedTerm, lag, busy, connections] = row.split(' ');
	const position = parsePosition(received ?? '');
	if ((role !== 'primary' && role !== 'replica') || !position) {
		return undefined;
	}

	return {
		role: role === 'primary' ? EndpointRole.Primary : EndpointRole.Replica,
		term: Number(term),
		received: position,
		fencedTerm: Number(fencedTerm),
		lagMs: Number(lag),
		busy: Number(busy),
		connections: Number(connections),
	};
}
