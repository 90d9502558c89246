import {Writable} from 'node:stream';
import {expect} from 'chai';
import {readProxyCommandLine} from '../../src/proxy/read-proxy-command-line.js';
import {ProxyExitCode, runProxy} from '../../src/proxy/run-proxy.js';

describe('the command line of the proxy', () => {
	function doTest(args: readonly string[], expected: Record<string, unknown> | RegExp) {
		it(`${args.join(' ') || '(nothing)'}`, () => {
			if (expected instanceof RegExp) {
				expect(() => readProxyCommandLine(args)).to.throw(expected);
			} else {
				expect(readProxyCommandLine(args)).to.deep.include(expected);
			}
		});
	}

	doTest([], {
		metricsPort: undefined, checkSettings: false, help: false, version: false,
	});
	doTest(['--metrics-port=9464'], {metricsPort: 9464});
	doTest(['--metrics-port', '9464', '--check-settings'], {metricsPort: 9464, checkSettings: true});
	doTest(['--help'], {help: true});
	doTest(['--version'], {version: true});
	doTest(['--metrics-port=none'], /--metrics-port must be a port, not none/v);
	doTest(['--metrics-port=70000'], /--metrics-port must be a port, not 70000/v);
	doTest([], {
		scheduling: 'auto', regions: 'auto', poolHosts: 3, roomFactor: 1.5, leastShare: 0.1,
	});
	doTest(['--scheduling=on', '--regions=off', '--pool-hosts=2', '--room-factor=2.5', '--least-share=0'], {
		scheduling: 'on', regions: 'off', poolHosts: 2, roomFactor: 2.5, leastShare: 0,
	});
	doTest(['--scheduling=yes'], /--scheduling must be auto, on or off, not yes/v);
	doTest(['--pool-hosts=2.5'], /--pool-hosts must be a whole number from 2 to 12, not 2.5/v);
	doTest(['--room-factor=0.5'], /--room-factor must be a number from 1 to 4, not 0.5/v);
	doTest(['--least-share='], /--least-share must be a number from 0 to 0.3, not /v);
	doTest(['--metric-port=9464'], /unknown option --metric/v);
	doTest(['start'], /unexpected argument start/v);
});

describe('a proxy that ends without serving', () => {
	/** Runs the proxy and returns its exit code and output. */
	async function run(args: readonly string[], settingsPath?: string) {
		const written: string[] = [];
		const stream = new Writable({
			write(chunk, _encoding, done) {
				written.push(String(chunk));
				done();
			},
		});
		const code = await runProxy({
			args, settingsPath, output: stream, errors: stream, events: {on() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
			createParts() {
				throw new Error('nothing is to be started');
			},
		});
		return {code, text: written.join('')};
	}

	it('prints its options', async () => {
		const {code, text} = await run(['--help']);
		expect([code, text.includes('--check-settings')]).to.deep.equal([ProxyExitCode.Ok, true]);
	});

	it('reports an unknown option in one line', async () => {
		expect(await run(['--speed'])).to.deep.equal({code: ProxyExitCode.BadSettings, text: 'aldercroft-proxy: unknown option --speed\n'});
	});

	it('reports that no settings file was named', async () => {
		expect(await run(['--check-settings'])).to.deep.equal({code: ProxyExitCode.BadSettings, text: 'aldercroft-proxy: the settings cannot be read: no settings file was named\n'});
	});
});
