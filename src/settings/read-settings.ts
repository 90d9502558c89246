import {parseArgs} from 'node:util';
import type {Settings} from './settings.js';
import {SETTING_DEFINITIONS} from './settings-schema.js';
import {
	throwSettingMalformed, throwSettingMissing, throwSettingRepeated, throwSettingUnknown,
} from './settings-errors.js';

/** The sources from which the settings are read. */
export type SettingsSource = {
	/** The arguments of the command line, without the program. */
	readonly args: readonly string[];
	readonly env: Readonly<Record<string, string | undefined>>;
};

const PREFIX = 'ALDERCROFT_';

/** Variables of the operators' command line tool, which may be set in the same environment. */
const OPERATOR_TOOL_VARIABLES = new Set(['ALDERCROFT_OPERATOR_URL', 'ALDERCROFT_OPERATOR_TOKEN']);

const SETTING_NAMES = Object.keys(SETTING_DEFINITIONS) as ReadonlyArray<keyof Settings>;

/** Returns the flag of a setting without the dashes, such as `host-address`. */
export function getFlagName(name: keyof Settings): string {
	return name.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`);
}

/** Returns the environment variable of a setting, such as `ALDERCROFT_HOST_ADDRESS`. */
export function getVariableName(name: keyof Settings): string {
	return PREFIX + getFlagName(name).replaceAll('-', '_').toUpperCase();
}

/**
 * Reads the settings; a flag takes precedence over the setting's variable.
 *
 * Throws SettingsError with a message of one line that names the setting. The message never quotes the value, since it may be a key.
 */
export function readSettings({args, env}: SettingsSource): Settings {
	const flags = readFlags(args);
	checkVariables(env);
	const settings = SETTING_NAMES.map(name => [name, readSetting(name, flags, env)]);
	return Object.fromEntries(settings) as Settings;
}

function readSetting(name: keyof Settings, flags: ReadonlyMap<string, string>, env: SettingsSource['env']) {
	const definition = SETTING_DEFINITIONS[name];
	const flag = `--${getFlagName(name)}`;
	const variable = getVariableName(name);
	const givenText = flags.get(flag) ?? env[variable];
	const text = givenText ?? definition.default ?? throwSettingMissing(`${flag} or ${variable}`);
	const checked = definition.schema.safeParse(text);
	return checked.success ? checked.data : throwSettingMalformed(flags.has(flag) ? flag : variable, checked.error.issues[0]!.message);
}

function readFlags(args: readonly string[]): ReadonlyMap<string, string> {
	const known = new Set(SETTING_NAMES.map(name => `--${getFlagName(name)}`));
	const options = Object.fromEntries(SETTING_NAMES.map(name => [getFlagName(name), {type: 'string' as const}]));
	const {tokens} = parseArgs({
		args: [...args], options, strict: false, tokens: true,
	});

	const flags = new Map<string, string>();
	for (const token of tokens) {
		if (token.kind !== 'option') {
			throwSettingUnknown(token.kind === 'positional' ? `argument ${token.index + 1}` : '--');
		}

		const {rawName, value} = token;
		if (!known.has(rawName)) {
			throwSettingUnknown(rawName);
		}

		// `--host-name --peer-port 1` lacks a name rather than naming the host "--peer-port".
		if (value === undefined || (!token.inlineValue && value.startsWith('--'))) {
			throwSettingMalformed(rawName, 'needs a value');
		}

		if (flags.has(rawName)) {
			throwSettingRepeated(rawName);
		}

		flags.set(rawName, value);
	}

	return flags;
}

/** Rejects unknown variables with the prefix: a misspelt one would silently leave its setting at the default. */
function checkVariables(env: SettingsSource['env']): void {
	const known = new Set(SETTING_NAMES.map(name => getVariableName(name)));
	for (const variable of Object.keys(env)) {
		if (variable.startsWith(PREFIX) && !known.has(variable) && !OPERATOR_TOOL_VARIABLES.has(variable)) {
			throwSettingUnknown(variable);
		}
	}
}
