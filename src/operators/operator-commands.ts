import type {OperatorIdentity} from './operator-access.js';

/** How a command ended. */
export const CommandStatus = {
	Ok: 'ok',
	/** It was understood, and not carried out; the text says why. */
	Refused: 'refused',
	/** It was not understood; the text points at the column. */
	Malformed: 'malformed',
} as const;

/** One of the ways in {@link CommandStatus}. */
export type CommandStatus = typeof CommandStatus[keyof typeof CommandStatus];

/** The answer to an operator's command. */
export type CommandAnswer = {
	readonly status: CommandStatus;
	/** For people: a sentence or a table, lines parted by `\n`. */
	readonly text: string;
	/** The same for machines; fit for JSON. */
	readonly data: unknown;
};

/** Runs the operators' command language. */
export type OperatorCommands = {
	/**
	 * Runs one command. Resolves with an answer for everything that an operator may type.
	 *
	 * @param changeId UUIDv7 that marks a change, so that one sent again after a lost answer takes effect once.
	 */
	run(command: string, who: OperatorIdentity, changeId: string | undefined): Promise<CommandAnswer>;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		operatorCommands: OperatorCommands;
	}
}
