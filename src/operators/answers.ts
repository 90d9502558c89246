import {CommandStatus, type CommandAnswer} from './operator-commands.js';

/** The answer to a command that was carried out. */
export function answerOk(text: string, data: unknown): CommandAnswer {
	return {status: CommandStatus.Ok, text, data};
}

/** The answer to a command that was understood and not carried out. */
export function answerRefused(text: string, data: unknown = null): CommandAnswer {
	return {status: CommandStatus.Refused, text, data};
}

/** The answer to a command that was not understood. */
export function answerMalformed(text: string, data: unknown): CommandAnswer {
	return {status: CommandStatus.Malformed, text, data};
}
