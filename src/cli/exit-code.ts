import {CommandStatus} from '../operators/operator-commands.js';

/** Exit codes of the operators' command-line tool. */
export const ExitCode = {
	Ok: 0,
	/** The command line or the command is malformed. */
	BadUsage: 2,
	/** The command was valid but refused. */
	Refused: 3,
	/** No host gave an answer. */
	Unreachable: 4,
} as const;

/** One of the codes in {@link ExitCode}. */
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];

/** The exit code for each status of a command. */
export const COMMAND_EXIT_CODES: Readonly<Record<CommandStatus, ExitCode>> = {
	[CommandStatus.Ok]: ExitCode.Ok,
	[CommandStatus.Refused]: ExitCode.Refused,
	[CommandStatus.Malformed]: ExitCode.BadUsage,
};
