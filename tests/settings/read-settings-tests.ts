import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {getFlagName, getVariableName, readSettings} from '../../src/settings/read-settings.js';
import {SettingsError} from '../../src/settings/settings-errors.js';
import {SETTING_DEFINITIONS} from '../../src/settings/settings-schema.js';
import type {Settings} from '../../src/settings/settings.js';

const KEY = 'k'.repeat(32);
const OLD_KEY = 'o'.repeat(40);

const ENV = {
	PATH: '/bin',
	ALDERCROFT_OPERATOR_URL: 'http://10.0.0.1:7402',
	ALDERCROFT_HOST_NAME: 'entry-1',
	ALDERCROFT_HOST_ADDRESS: '10.0.0.1',
	ALDERCROFT_AVAILABILITY_ZONE: 'hall-a',
	ALDERCROFT_PLATFORM_URL: 'http://10.0.9.1:80/',
	ALDERCROFT_SIGNING_KEYS: `${KEY}, ${OLD_KEY}`,
	ALDERCROFT_PEER_KEYS: KEY,
	ALDERCROFT_ENDPOINT_USER: 'aldercroft',
	ALDERCROFT_ENDPOINT_PASSWORD: 'hush',
};

describe('read settings', () => {
	it('takes variables and defaults', () => {
		expect(readSettings({args: [], env: ENV})).to.deep.equal({
			hostName: 'entry-1',
			hostAddress: '10.0.0.1',
			availabilityZone: 'hall-a',
			callerPort: 7400,
			peerPort: 7401,
			operatorPort: 7402,
			platformUrl: 'http://10.0.9.1:80',
			signingKeys: [KEY, OLD_KEY],
			peerKeys: [KEY],
			endpointUser: 'aldercroft',
			endpointPassword: 'hush',
			endpointDatabase: 'postgres',
			bootstrapTokenHash: '',
			logLevel: 'info',
			shutdownMs: 30_000,
			leaveNoticeMs: 2000,
		} satisfies Settings);
	});

	describe('valid flags', () => {
		const doTest = <N extends keyof Settings>(args: string[], name: N, expected: Settings[N]) => {
			it(args.join(' '), () => {
				expect(readSettings({args, env: ENV})[name]).to.deep.equal(expected);
			});
		};

		doTest(['--host-name', 'entry-2'], 'hostName', 'entry-2');
		doTest(['--host-address=fd00::1'], 'hostAddress', 'fd00::1');
		doTest(['--shutdown-ms', '100'], 'shutdownMs', 100);
		doTest(['--endpoint-password=--odd'], 'endpointPassword', '--odd');
		doTest(['--log-level', 'debug', '--peer-keys', OLD_KEY], 'peerKeys', [OLD_KEY]);
	});

	describe('errors', () => {
		const doTest = (args: string[], env: Record<string, string | undefined>, expected: string) => {
			it(expected, () => {
				expect(() => readSettings({args, env: {...ENV, ...env}})).to.throw(SettingsError).with.property('message', expected);
			});
		};

		doTest(['--hostname', 'x'], {}, '--hostname: no such setting');
		doTest(['-h'], {}, '-h: no such setting');
		doTest(['entry-1'], {}, 'argument 1: no such setting');
		doTest(['--'], {}, '--: no such setting');
		doTest([], {ALDERCROFT_HOSTNAME: 'x'}, 'ALDERCROFT_HOSTNAME: no such setting');
		doTest([], {ALDERCROFT_HOST_NAME: undefined}, '--host-name or ALDERCROFT_HOST_NAME: missing');
		doTest(['--host-name'], {}, '--host-name: needs a value');
		doTest(['--host-name', '--peer-port', '1'], {}, '--host-name: needs a value');
		doTest(['--peer-port', '1', '--peer-port=2'], {}, '--peer-port: given more than once');
		doTest(['--peer-port', '0'], {}, '--peer-port: must be a whole number from 1 to 65535');
		doTest(['--peer-port', '1e3'], {}, '--peer-port: must be a whole number from 1 to 65535');
		doTest(['--peer-port', ''], {}, '--peer-port: must be a whole number from 1 to 65535');
		doTest(['--host-address', 'entry-1'], {}, '--host-address: must be an IP number');
		doTest(['--host-name', 'a b'], {}, '--host-name: must consist of letters, digits, ".", "_" and "-"');
		doTest(['--platform-url', 'ftp://10.0.0.1'], {}, '--platform-url: must be an http or https URL');
		doTest(['--platform-url', 'http://10.0.0.1/?a'], {}, '--platform-url: must have no query or fragment');
		doTest([], {ALDERCROFT_LOG_LEVEL: 'loud'}, 'ALDERCROFT_LOG_LEVEL: must be one of trace, debug, info, warn, error, fatal');
		doTest([], {ALDERCROFT_SIGNING_KEYS: `${KEY},secret`}, 'ALDERCROFT_SIGNING_KEYS: must be keys of 32 bytes or more, parted by commas');
		doTest([], {ALDERCROFT_SIGNING_KEYS: `${KEY},${KEY}`}, 'ALDERCROFT_SIGNING_KEYS: must not repeat a key');
		doTest([], {ALDERCROFT_ENDPOINT_USER: ''}, 'ALDERCROFT_ENDPOINT_USER: must not be empty');
	});

	it('agrees with docs/SETTINGS.md', () => {
		const rows = readFileSync('docs/SETTINGS.md', 'utf8').split('\n').filter(line => line.startsWith('| `--'));
		const expected = Object.entries(SETTING_DEFINITIONS).map(([key, definition]) => {
			const name = key as keyof Settings;
			const requirement = definition.default === undefined ? 'must be given' : `\`${definition.default}\``;
			return `| \`--${getFlagName(name)}\` | \`${getVariableName(name)}\` | ${definition.unit} | ${requirement} | ${definition.description} |`;
		});
		expect(rows).to.deep.equal(expected);
	});
});
