import {Buffer} from 'node:buffer';
import * as z from 'zod';
import type {Settings} from './settings.js';

/** Describes and parses one setting. Its flag and variable follow from its name in `Settings`. */
export type SettingDefinition = {
	/** Parses the text of the flag or variable. */
	readonly schema: z.ZodType<Settings[keyof Settings], string>;
	/** The text that is parsed if neither is given; undefined if the setting is required. */
	readonly default?: string;
	readonly unit: string;
	/** What the setting controls, as shown in docs/SETTINGS.md and by `--help`. */
	readonly description: string;
};

/** Bunyan's log levels, from the most verbose. */
const LOG_LEVELS = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const;

/** Minimum length of a key, in bytes. */
const MIN_KEY_BYTES = 32;

const MAX_MS = 3_600_000;

const text = z.string().min(1, 'must not be empty').max(255, 'must have at most 255 characters');

const hostName = text.regex(/^[\w.\-]+$/v, 'must consist of letters, digits, ".", "_" and "-"');

const ipNumber = z.union([z.ipv4(), z.ipv6()], 'must be an IP number');

const port = wholeNumber(1, 65_535);

const keys = z.string()
	.transform(list => list.split(',').map(key => key.trim()))
	.refine(list => list.every(key => Buffer.byteLength(key) >= MIN_KEY_BYTES), `must be keys of ${MIN_KEY_BYTES} bytes or more, parted by commas`)
	.refine(list => new Set(list).size === list.length, 'must not repeat a key');

const baseUrl = z.url({protocol: /^https?$/v, error: 'must be an http or https URL'})
	.refine(url => !/[?#]/v.test(url), 'must have no query or fragment')
	.transform(url => url.replace(/\/+$/v, ''));

/** Every setting of the daemon, in the order of docs/SETTINGS.md. */
export const SETTING_DEFINITIONS: Readonly<Record<keyof Settings, SettingDefinition>> = {
	hostName: {schema: hostName, unit: 'name', description: 'Name of this host on the platform\'s list'},
	hostAddress: {schema: ipNumber, unit: 'IP number', description: 'Address to listen on and to be reached at'},
	availabilityZone: {schema: hostName, unit: 'name', description: 'Availability zone of this host'},
	callerPort: {
		schema: port, default: '7400', unit: 'TCP port', description: 'Port for callers',
	},
	peerPort: {
		schema: port, default: '7401', unit: 'TCP port', description: 'Port for the other proxies',
	},
	operatorPort: {
		schema: port, default: '7402', unit: 'TCP port', description: 'Port for operators, metrics and the balancer\'s checks',
	},
	platformUrl: {schema: baseUrl, unit: 'URL', description: 'Base URL of the platform\'s API'},
	signingKeys: {schema: keys, unit: 'keys, parted by commas', description: 'Sign session tokens and refusal tickets; current first, then the previous or next; 32 bytes or more each'},
	peerKeys: {schema: keys, unit: 'keys, parted by commas', description: 'Authenticate links between proxies; current first; 32 bytes or more each'},
	endpointUser: {schema: text, unit: 'name', description: 'User on the database servers'},
	endpointPassword: {schema: text, unit: 'text', description: 'Password on the database servers'},
	endpointDatabase: {
		schema: text, default: 'postgres', unit: 'name', description: 'Database to open on the database servers',
	},
	bootstrapTokenHash: {
		schema: z.string().regex(/^(?:[\da-f]{64})?$/iv, 'must be 64 hexadecimal digits, or empty'),
		default: '',
		unit: 'SHA-256 in hex',
		description: 'Hash of the token that opens a system without operators; empty for none',
	},
	logLevel: {
		schema: z.enum(LOG_LEVELS, `must be one of ${LOG_LEVELS.join(', ')}`), default: 'info', unit: 'level', description: 'Least level of log lines to print',
	},
	shutdownMs: {
		schema: wholeNumber(100, MAX_MS), default: '30000', unit: 'ms', description: 'Bound on a graceful stop',
	},
	leaveNoticeMs: {
		schema: wholeNumber(0, MAX_MS), default: '2000', unit: 'ms', description: 'How long a leaving host goes on telling callers to come back, so that the balancer notices',
	},
};

function wholeNumber(min: number, max: number) {
	const problem = `must be a whole number from ${min} to ${max}`;
	return z.string().regex(/^\d{1,9}$/v, problem).transform(Number).refine(value => value >= min && value <= max, problem);
}
