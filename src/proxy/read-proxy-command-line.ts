import {defineCommand, parseArgs, renderUsage} from 'citty';
import {throwProxyUsage} from './proxy-errors.js';

/** The parsed command line of the proxy. */
export type ProxyCommandLine = {
	/** Port for metrics on the host's address; undefined where none are served. */
	readonly metricsPort?: number;
	/** Whether to check the settings and end. */
	readonly checkSettings: boolean;
	/** Whether statements are scheduled over all hosts. */
	readonly scheduling: FeatureMode;
	/** Whether the proxy takes account of regions. */
	readonly regions: FeatureMode;
	/** Number of hosts that keep connections to one endpoint, with scheduling. */
	readonly poolHosts: number;
	/** Statements in flight at an endpoint over all hosts, as a multiple of its slots, with scheduling. */
	readonly roomFactor: number;
	/** Minimum share of slot time for each priority level that waits, with scheduling. */
	readonly leastShare: number;
	readonly help: boolean;
	readonly version: boolean;
};

/** Whether a feature is in force. */
export const FeatureMode = {
	/** Where the settings ask for it. */
	Auto: 'auto',
	On: 'on',
	Off: 'off',
} as const;

/** One of the modes in {@link FeatureMode}. */
export type FeatureMode = typeof FeatureMode[keyof typeof FeatureMode];

/** Version of the proxy, equal to the package's. */
export const PROXY_VERSION = '0.1.0';

const MAX_PORT = 65_535;

const args = {
	'metrics-port': {type: 'string', valueHint: 'PORT', description: 'Serve metrics as text on this port of the host\'s address'},
	scheduling: {type: 'string', valueHint: 'MODE', description: 'Schedule statements over all hosts: auto (as the settings ask), on or off'},
	regions: {type: 'string', valueHint: 'MODE', description: 'Take account of regions: auto (as the settings ask), on or off'},
	'pool-hosts': {type: 'string', valueHint: 'NUMBER', description: 'With scheduling: hosts that keep connections to one endpoint, 2 to 12; 3 by default'},
	'room-factor': {type: 'string', valueHint: 'NUMBER', description: 'With scheduling: statements in flight at an endpoint for each of its slots, 1 to 4; 1.5 by default'},
	'least-share': {type: 'string', valueHint: 'NUMBER', description: 'With scheduling: minimum share of slot time for each priority that waits, 0 to 0.3; 0.1 by default'},
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
		scheduling: readMode('scheduling', parsed.scheduling),
		regions: readMode('regions', parsed.regions),
		poolHosts: readNumber('pool-hosts', parsed['pool-hosts'], {
			min: 2, max: 12, fallback: 3, isWhole: true,
		}),
		roomFactor: readNumber('room-factor', parsed['room-factor'], {min: 1, max: 4, fallback: 1.5}),
		leastShare: readNumber('least-share', parsed['least-share'], {min: 0, max: 0.3, fallback: 0.1}),
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

function readMode(option: string, text: string = FeatureMode.Auto): FeatureMode {
	const mode = Object.values(FeatureMode).find(known => known === text);
	return mode ?? throwProxyUsage(`--${option} must be auto, on or off, not ${text}`);
}

type NumberRange = {
	readonly min: number;
	readonly max: number;
	readonly fallback: number;
	readonly isWhole?: boolean;
};

function readNumber(option: string, text: string | undefined, {min, max, fallback, isWhole = false}: NumberRange): number {
	if (text === undefined) {
		return fallback;
	}

	const value = text.trim() === '' ? Number.NaN : Number(text);
	const isValid = value >= min && value <= max && (!isWhole || Number.isInteger(value));
	return isValid ? value : throwProxyUsage(`--${option} must be a ${isWhole ? 'whole ' : ''}number from ${min} to ${max}, not ${text}`);
}
