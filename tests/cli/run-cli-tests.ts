import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {PassThrough, Readable} from 'node:stream';
import {setImmediate} from 'node:timers/promises';
import {expect} from 'chai';
import {runCli} from '../../src/cli/run-cli.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import type {Clock} from '../../src/time/clock.js';

type Step = (res: ServerResponse) => void;

const answer = (status: string, text: string, httpStatus = 200): Step => res => {
	res.writeHead(httpStatus, {'content-type': 'application/json'}).end(JSON.stringify({status, text, data: {n: 1}}));
};

/** Closes the connection without an answer, as when a command takes effect and its answer is lost. */
const lose: Step = res => {
	res.destroy();
};

const hang: Step = () => undefined;

describe('aldercroft', () => {
	let server: Server;
	let url: string;
	let steps: Step[];
	let received: Array<{command: string; changeId: string; authorization?: string}>;

	beforeEach(async () => {
		received = [];
		server = createServer(async (req, res) => {
			const chunks = await req.setEncoding('utf8').toArray();
			const body = JSON.parse(chunks.join('')) as {command: string; changeId: string};
			received.push({...body, authorization: req.headers.authorization});
			(steps.shift() ?? lose)(res);
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
	});

	afterEach(() => {
		server.closeAllConnections();
		server.close();
	});

	const never = new Promise<void>(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function

	// Delays between attempts pass at once; the timeout of an attempt, which is longer, never expires.
	const impatientClock: Clock = {
		...createVirtualClock(),
		async sleep(ms) {
			await (ms < 10_000 ? setImmediate() : never);
		},
	};

	const run = async (args: string[], input = '', clock = impatientClock) => {
		const output = new PassThrough();
		const errors = new PassThrough();
		const code = await runCli({
			args, env: {ALDERCROFT_OPERATOR_URL: url, ALDERCROFT_OPERATOR_TOKEN: 'good'}, input: Readable.from([input]), output, errors, clock, random: createSeededRandom(1),
		});
		return {code, output: String(output.read() ?? ''), errors: String(errors.read() ?? '')};
	};

	describe('one command', () => {
		const doTest = (args: string[], step: Step, command: string, expected: {code: number; output: string | RegExp; errors: string}) => {
			it(args.join(' '), async () => {
				steps = [step];
				const {code, output, errors} = await run(args);
				expect(received.map(sent => sent.command)).to.deep.equal([command]);
				expect([code, errors]).to.deep.equal([expected.code, expected.errors]);
				if (typeof expected.output === 'string') {
					expect(output).to.equal(expected.output);
				} else {
					expect(output).to.match(expected.output);
				}
			});
		};

		const table = 'group  age\nsleep  5s';
		doTest(['run', 'show groups'], answer('ok', table), 'show groups', {code: 0, output: `${table}\n`, errors: ''});
		doTest(['show', 'groups'], answer('ok', table), 'show groups', {code: 0, output: `${table}\n`, errors: ''});
		doTest(['drain endpoint e-1'], answer('refused', 'it is the last', 409), 'drain endpoint e-1', {code: 3, output: '', errors: 'it is the last\n'});
		doTest(['shwo groups'], answer('malformed', 'column 1: expected show', 400), 'shwo groups', {code: 2, output: '', errors: 'column 1: expected show\n'});
		doTest(['why x'], answer('ok', 'a\u001B[2Jb\u0007'), 'why x', {code: 0, output: 'a\u{FFFD}[2Jb\u{FFFD}\n', errors: ''});
		doTest(['--json', 'show groups'], answer('ok', 'text'), 'show groups', {code: 0, output: /^\{"status":"ok","text":"text","data":\{"n":1\},"changeId":"[\da-f\-]{36}"\}\n$/v, errors: ''});
	});

	it('sends its token and a UUIDv7 as change id', async () => {
		steps = [answer('ok', '')];
		await run(['--token', 'other', 'show groups']);
		expect(received[0]).to.deep.include({authorization: 'Bearer other'});
		expect(received[0]!.changeId).to.match(/^[\da-f\-]{14}7/v);
	});

	// An operator drains an endpoint; the host applies the change and dies before it answers. If the drain were sent again as
	// a new command, it would be applied twice or refused as a conflict with "another" operator. With the same id the next
	// host recognizes it.
	it('sends a command again with the same id when its answer was lost', async () => {
		steps = [lose, res => res.writeHead(500).end('{}'), res => res.writeHead(502).end('<html>'), answer('ok', 'drained')];
		const {code, output} = await run(['drain endpoint e-1']);
		expect([code, output]).to.deep.equal([0, 'drained\n']);
		expect(received).to.have.length(4);
		expect(new Set(received.map(sent => sent.changeId)).size).to.equal(1);
	});

	it('tries the next URL where the first does not answer', async () => {
		steps = [answer('ok', 'done')];
		const {code} = await run(['--url', `http://127.0.0.1:1, ${url}`, 'show groups']);
		expect([code, received.length]).to.deep.equal([0, 1]);
	});

	it('reports a host that never answers as unreachable, not as a refusal', async () => {
		steps = [];
		const {code, output, errors} = await run(['drain endpoint e-1']);
		expect([code, output, received.length]).to.deep.equal([4, '', 4]);
		expect(errors).to.include(`no answer from ${url}; a change may have taken effect, "show changes" lists it under ${received[0]!.changeId}`);
	});

	it('times out an attempt on a silent connection and tries again', async () => {
		const clock = createVirtualClock();
		steps = [hang, answer('ok', 'done')];
		const running = run(['show groups'], '', clock);
		while (received.length === 0) {
			await clock.advance(0);
		}

		await clock.advance(15_000);
		while (received.length === 1) {
			await clock.advance(1);
		}

		const {code} = await running;
		expect(code).to.equal(0);
	});

	describe('standard input', () => {
		it('runs each line and exits with the code of the last', async () => {
			steps = [answer('ok', 'one'), answer('refused', 'two', 409)];
			const result = await run([], 'show groups\n\n  show hosts\nexit\nshow config\n');
			expect(result).to.deep.equal({code: 3, output: 'one\n', errors: 'two\n'});
			expect(received.map(sent => sent.command)).to.deep.equal(['show groups', 'show hosts']);
		});
	});

	describe('usage', () => {
		const doTest = (args: string[], problem: string) => {
			it(`${args.join(' ')}: ${problem}`, async () => {
				expect(await run(args)).to.deep.equal({code: 2, output: '', errors: `aldercroft: ${problem}\n`});
				expect(received).to.deep.equal([]);
			});
		};

		doTest(['--foo', 'show groups'], 'unknown option --foo');
		doTest(['-x', 'show groups'], 'unknown option -x');
		doTest(['--url', 'entry-1', 'show groups'], '--url or ALDERCROFT_OPERATOR_URL: expected an http or https URL');
		doTest(['--token=', 'show groups'], 'give --token or ALDERCROFT_OPERATOR_TOKEN');

		it('prints help and version', async () => {
			expect(await run(['--help'])).to.include({code: 0}).and.property('output').that.includes('--json');
			expect(await run(['--version'])).to.deep.equal({code: 0, output: '0.1.0\n', errors: ''});
		});
	});
});
