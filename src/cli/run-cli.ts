import {createInterface} from 'node:readline/promises';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import {UnreachableError, UsageError} from './cli-errors.js';
import {COMMAND_EXIT_CODES, ExitCode} from './exit-code.js';
import {createOperatorClient, type OperatorClient, type SentAnswer} from './operator-client.js';
import {runReport} from './run-report.js';
import {aldercroftCommand, getUsage, readCommandLine} from './read-command-line.js';

/** Options of {@link runCli}: the parts of its process that the tool uses. */
export type CliOptions = {
	/** The command-line arguments without the program's name. */
	readonly args: readonly string[];
	readonly env: Readonly<Record<string, string | undefined>>;
	readonly input: NodeJS.ReadableStream & {readonly isTTY?: boolean};
	readonly output: NodeJS.WritableStream;
	readonly errors: NodeJS.WritableStream;
	readonly clock: Clock;
	readonly random: Random;
};

const PROMPT = 'aldercroft> ';

/** Number of commands in the prompt's history. */
const HISTORY_SIZE = 500;

/** Runs the operators' command-line tool; resolves with its exit code. */
export async function runCli(options: CliOptions): Promise<ExitCode> {
	const {args, env, output, errors} = options;
	if (args.includes('--help') || args.includes('-h')) {
		output.write(`${await getUsage()}\n`);
		return ExitCode.Ok;
	}

	if (args.length === 1 && args[0] === '--version') {
		output.write(`${(aldercroftCommand.meta as {version: string}).version}\n`);
		return ExitCode.Ok;
	}

	try {
		if (args[0] === 'report') {
			return await runReport({...options, args: args.slice(1)});
		}

		const {command, json, ...connection} = readCommandLine(args, env);
		const client = createOperatorClient({...options, ...connection});
		const runCommand = createCommandRunner(options, client, json);
		return command === undefined ? await runPrompt(options, runCommand) : await runCommand(command);
	} catch (err) {
		if (err instanceof UsageError) {
			errors.write(`aldercroft: ${err.message}\n`);
			return ExitCode.BadUsage;
		}

		throw err;
	}
}

type CommandRunner = (command: string) => Promise<ExitCode>;

function createCommandRunner({output, errors}: CliOptions, client: OperatorClient, json: boolean): CommandRunner {
	const print = (answer: SentAnswer) => {
		const stream = json || answer.status === 'ok' ? output : errors;
		stream.write(json ? `${JSON.stringify(answer)}\n` : `${toPrintable(answer.text)}\n`);
	};

	return async command => {
		try {
			const answer = await client.run(command);
			print(answer);
			return COMMAND_EXIT_CODES[answer.status];
		} catch (err) {
			if (!(err instanceof UnreachableError)) {
				throw err;
			}

			if (json) {
				output.write(`${JSON.stringify({status: 'unreachable', text: err.message, data: null})}\n`);
			} else {
				errors.write(`aldercroft: ${err.message}\n`);
			}

			return ExitCode.Unreachable;
		}
	};
}

/** Runs each line of the input; resolves with the exit code of the last command. */
async function runPrompt({input, output}: CliOptions, runCommand: CommandRunner): Promise<ExitCode> {
	const terminal = input.isTTY ?? false;
	const lines = createInterface({
		input, output: terminal ? output : undefined, terminal, prompt: PROMPT, historySize: HISTORY_SIZE, removeHistoryDuplicates: true,
	});
	let code: ExitCode = ExitCode.Ok;
	lines.prompt();
	for await (const line of lines) {
		const command = line.trim();
		if (command === 'exit' || command === 'quit') {
			break;
		}

		if (command !== '') {
			code = await runCommand(command);
		}

		lines.prompt();
	}

	lines.close();
	return code;
}

/** Replaces control characters: an answer may quote a statement, in which they could alter the operator's terminal output. */
function toPrintable(text: string): string {
	return text.replaceAll(/[\p{Cc}--[\n\t]]/gv, '\u{FFFD}');
}
