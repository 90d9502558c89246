import type {OperatorIdentity} from './operator-access.js';

/** The status of a command's answer. */
export const CommandStatus = {
	Ok: 'ok',
	/** The command was valid but was not carried out; the text contains the reason. */
	Refused: 'refused',
	/** The command is malformed; the text contains the reason, for a syntax error with its column. */
	Malformed: 'malformed',
} as const;

/** One of the values in {@link CommandStatus}. */
export type CommandStatus = typeof CommandStatus[keyof typeof CommandStatus];

/** The answer to an operator's command. */
export type CommandAnswer = {
	readonly status: CommandStatus;
	/** Human-readable: sentences or a table, with lines separated by `\n`. */
	readonly text: string;
	/** The same in machine-readable form, serializable as JSON. */
	readonly data: unknown;
};

/** Runs the operators' command language. */
export type OperatorCommands = {
	/**
	 * Runs one command. Resolves with an answer for any text that an operator may enter.
	 *
	 * @param changeId UUIDv7 that identifies a change, so that a change sent again after a lost answer takes effect once.
	 */
	run(command: string, who: OperatorIdentity, changeId: string | undefined): Promise<CommandAnswer>;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		operatorCommands: OperatorCommands;
	}
}
