import type {EndpointRequest} from '../links/endpoint-link.js';
import type {NeededSession, SessionRequest} from '../links/link-session.js';
import {Access, type PreparedShape} from '../statements/statement.js';

/**
 * A request as a remote host sends it to a pool host, which runs the needed prepared statement under a name of its own connection.
 *
 * Hosts of earlier versions use the name that the request carries, and prepare the statement under `r_` or `w_` with the shape; they know no empty arguments.
 */
export type RequestOnWire = EndpointRequest & {
	/** Whether an `execute` has arguments that are empty: a blank follows the name. */
	readonly hasEmptyArgs?: true;
};

/** What a request needs, as it is sent with it. */
export type NeededOnWire = {
	readonly values: ReadonlyArray<readonly [string, string]>;
	readonly prepared?: PreparedShape;
};

/** The longest name and arguments that hosts of earlier versions send on within the size limit of a message, in bytes. */
const MAX_EARLIER_LENGTH = 1_000_000;

/** Returns the form in which a request is sent. */
export function toRequestOnWire({command, ...rest}: SessionRequest, prepared: PreparedShape | undefined): RequestOnWire {
	if (command.kind !== 'execute') {
		return {...rest, command};
	}

	const {args} = command;
	const name = prepared && isKnownToEveryVersion({command}, prepared) ? getEarlierName(prepared) : '';
	return {
		...rest,
		command: {kind: 'execute', name, args: args ?? ''},
		...(args === '' && {hasEmptyArgs: true}),
	};
}

/** Returns the request of a remote host without the name that it gives to a prepared statement. */
export function fromRequestOnWire({command, hasEmptyArgs, ...rest}: RequestOnWire): SessionRequest {
	if (command.kind !== 'execute') {
		return {...rest, command};
	}

	const args = command.args === '' && !hasEmptyArgs ? undefined : command.args;
	return {...rest, command: {kind: 'execute', args}};
}

/** Returns what a request needs in the form in which it is sent. */
export function toNeededOnWire({values, prepared}: NeededSession): NeededOnWire {
	return {values: [...values], ...(prepared && {prepared})};
}

/** Returns what the request of a remote host needs. */
export function fromNeededOnWire({values, prepared}: NeededOnWire): NeededSession {
	return {values: new Map(values), prepared};
}

/**
 * Returns whether pool hosts of every version run the request as it is. Those of earlier versions use the shape as part of a name, which a blank would end, and drop
 * the blank before empty arguments.
 */
export function isKnownToEveryVersion({command}: SessionRequest, prepared: PreparedShape | undefined): boolean {
	if (command.kind !== 'execute' || !prepared) {
		return true;
	}

	return !prepared.shape.includes(' ') && command.args !== '' && prepared.shape.length + (command.args?.length ?? 0) < MAX_EARLIER_LENGTH;
}

function getEarlierName({access, shape}: PreparedShape): string {
	return `${access === Access.Read ? 'r' : 'w'}_${shape}`;
}
