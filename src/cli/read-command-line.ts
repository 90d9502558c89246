import {defineCommand, parseArgs, renderUsage} from 'citty';
import {throwUsage} from './cli-errors.js';

/** The options from the command line and the environment. */
export type CommandLine = {
	readonly urls: readonly string[];
	readonly token: string;
	readonly json: boolean;
	/** Undefined where commands are to be read from standard input. */
	readonly command?: string;
};

const args = {
	url: {type: 'string', valueHint: 'URL', description: 'Operator port of a host, as in http://10.0.0.1:7402; several parted by commas (or ALDERCROFT_OPERATOR_URL)'},
	token: {type: 'string', valueHint: 'TOKEN', description: 'Operator\'s token (better in ALDERCROFT_OPERATOR_TOKEN: flags show in the list of processes)'},
	json: {type: 'boolean', description: 'Print each answer as one line of JSON'},
	command: {
		type: 'positional',
		required: false,
		description: 'What to run, as in "show groups"; the word "run" may stand before it; none: a prompt. "report LOG…" reads logs and asks no host',
	},
} as const;

/** The definition of the tool, from which citty renders the text of `--help`. */
export const aldercroftCommand = defineCommand({
	meta: {name: 'aldercroft', version: '0.1.0', description: 'Ask and instruct aldercroft. Exit codes: 0 done, 2 not understood, 3 refused, 4 unreachable'},
	args,
});

/** Returns the text of `--help`. */
export async function getUsage(): Promise<string> {
	return renderUsage(aldercroftCommand);
}

/** Parses the command line; throws a UsageError where it is invalid. */
export function readCommandLine(rawArgs: readonly string[], env: Readonly<Record<string, string | undefined>>): CommandLine {
	const parsed = parseArgs<typeof args>([...rawArgs], args);
	const unknown = Object.keys(parsed).find(name => name !== '_' && !Object.hasOwn(args, name));
	if (unknown !== undefined) {
		throwUsage(`unknown option ${unknown.length === 1 ? '-' : '--'}${unknown}`);
	}

	const url = parsed.url ?? env.ALDERCROFT_OPERATOR_URL ?? throwUsage('give --url or ALDERCROFT_OPERATOR_URL');
	const token = parsed.token ?? env.ALDERCROFT_OPERATOR_TOKEN ?? '';
	if (token === '') {
		throwUsage('give --token or ALDERCROFT_OPERATOR_TOKEN');
	}

	const words = parsed._[0] === 'run' ? parsed._.slice(1) : parsed._;
	return {
		urls: url.split(',').map(part => readUrl(part.trim())),
		token,
		json: parsed.json ?? false,
		command: words.length === 0 ? undefined : words.join(' '),
	};
}

function readUrl(text: string): string {
	const isHttp = URL.canParse(text) && /^https?:$/v.test(new URL(text).protocol);
	return isHttp ? text : throwUsage('--url or ALDERCROFT_OPERATOR_URL: expected an http or https URL');
}
