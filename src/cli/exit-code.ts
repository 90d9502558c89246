import {CommandStatus} from '../operators/operator-commands.js';

/** Exit codes of the operators' command line tool. */
export const ExitCode = {
	Ok: 0,
	/** The command line or the command was not understood. */
	BadUsage: 2,
	/** The command was understood, and refused. */
	Refused: 3,
	/** No host answered. */
	Unreachable: 4,
} as const;

/** One of the codes in {@link ExitCode}. */
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];

/** The exit code that tells how a command ended. */
export const COMMAND_EXIT_CODES: Readonly<Record<CommandStatus, ExitCode>> = {
	[CommandStatus.Ok]: ExitCode.Ok,
	[CommandStatus.Refused]: ExitCode.Refused,
	[CommandStatus.Malformed]: ExitCode.BadUsage,
};
