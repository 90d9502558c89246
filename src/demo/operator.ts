import {execFile} from 'node:child_process';
import {createHash} from 'node:crypto';
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {ExitCode} from '../cli/exit-code.js';
import type {Random} from '../random/random.js';
import type {LocalProxy} from '../stand-ins/processes/local-system.js';

/** An operator who uses the command-line tool `aldercroft`. */
export type DemoOperator = {
	readonly tokenHash: string;
	/** Runs one command at a proxy, in a process of its own. */
	run(command: string, proxy: LocalProxy): Promise<CommandEnd>;
	/** Does the same and resolves with the output; rejects where the command failed. */
	runOrThrow(command: string, proxy: LocalProxy): Promise<string>;
};

/** The result of a command. */
export type CommandEnd = {
	readonly exitCode: number;
	/** Text that it printed to standard output, followed by that to standard error. */
	readonly text: string;
};

const TOOL = new URL('../../dist/cli/main.js', import.meta.url);
const TOKEN_BYTES = 32;
const TIMEOUT_MS = 30_000;

/** Creates an operator with a token of its own. */
export function createOperator(random: Random): DemoOperator {
	const token = Buffer.from(random.bytes(TOKEN_BYTES)).toString('hex');

	const run = async (command: string, proxy: LocalProxy) => new Promise<CommandEnd>(resolve => {
		const env = {...process.env, ALDERCROFT_OPERATOR_URL: proxy.operatorUrl, ALDERCROFT_OPERATOR_TOKEN: token};
		execFile(process.execPath, [TOOL.pathname, 'run', ...command.split(' ')], {env, timeout: TIMEOUT_MS}, (err, stdout, stderr) => {
			const exitCode = err ? Number(err.code ?? ExitCode.Unreachable) : ExitCode.Ok;
			resolve({exitCode, text: `${stdout}${stderr}`});
		});
	});

	return {
		tokenHash: createHash('sha256').update(token).digest('hex'),
		run,
		async runOrThrow(command, proxy) {
			const {exitCode, text} = await run(command, proxy);
			if (exitCode !== ExitCode.Ok) {
				throw new Error(`"${command}" ended with ${exitCode}: ${text}`);
			}

			return text;
		},
	};
}
