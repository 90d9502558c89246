import {defineCommand, parseArgs, renderUsage} from 'citty';
import {throwProxyUsage} from './proxy-errors.js';

/** The parsed command line of the proxy. */
export type ProxyCommandLine = {
	/** Port for metrics on the host's address; undefined where none are served. */
	readonly metricsPort?: number;
	/** Whether to check the settings and end. */
	readonly checkSettings: boolean;
	readonly help: boolean;
	readonly version: boolean;
};

/** Version of the proxy, equal to the package's. */
export const PROXY_VERSION = '0.1.0';

const MAX_PORT = 65_535;

const args = {
	'metrics-port': {type: 'string', valueHint: 'PORT', description: 'Serve metrics as text on this port of the host\'s address'},
	'check-settings': {type: 'boolean', description: 'Check the settings file that the platform names, and end'},
	help: {type: 'boolean', description: 'Print this text, and end'},
	version: {type: 'boolean', description: 'Print the version, and end'},
} as const;

const command = defineCommand({
	meta: {
		name: 'aldercroft-proxy', version: PROXY_VERSION, description: 'Serve callers on the users\' platform. Exit codes: 0 stopped as asked, 1 failed, 2 a setting or an option is wrong',
	},
	args,
});

/** Returns the text of `--help`. */
export async function getProxyUsage(): Promise<string> {
	return renderUsage(command);
}

/** Parses the command line, without the name of the program. Throws ProxyUsageError where it is invalid. */
export function readProxyCommandLine(rawArgs: readonly string[]): ProxyCommandLine {
	const parsed = parseArgs<typeof args>([...rawArgs], args);
	const unknown = Object.keys(parsed).find(name => name !== '_' && !Object.hasOwn(args, name) && !Object.hasOwn(args, toFlag(name)));
	if (unknown !== undefined) {
		throwProxyUsage(`unknown option ${unknown.length === 1 ? '-' : '--'}${unknown}`);
	}

	if (parsed._.length > 0) {
		throwProxyUsage(`unexpected argument ${parsed._[0]}`);
	}

	return {
		metricsPort: parsed['metrics-port'] === undefined ? undefined : readPort(parsed['metrics-port']),
		checkSettings: parsed['check-settings'] ?? false,
		help: parsed.help ?? false,
		version: parsed.version ?? false,
	};
}

/** Converts an option's name from camel case; citty returns each option in camel case as well. */
function toFlag(name: string): string {
	return name.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`);
}

function readPort(text: string): number {
	const port = Number(text);
	return Number.isInteger(port) && port > 0 && port <= MAX_PORT ? port : throwProxyUsage(`--metrics-port must be a port, not ${text}`);
}
