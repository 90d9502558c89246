import {CommandStatus, type CommandAnswer} from './operator-commands.js';

/** Returns the answer to a command that was carried out. */
export function answerOk(text: string, data: unknown): CommandAnswer {
	return {status: CommandStatus.Ok, text, data};
}

/** Returns the answer to a command that was valid but was not carried out. */
export function answerRefused(text: string, data: unknown = null): CommandAnswer {
	return {status: CommandStatus.Refused, text, data};
}

/** Returns the answer to a command that is malformed. */
export function answerMalformed(text: string, data: unknown): CommandAnswer {
	return {status: CommandStatus.Malformed, text, data};
}
