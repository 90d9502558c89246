import {expect} from 'chai';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createPromMetrics} from '../../src/metrics/prom-metrics.js';
import type {CommandAnswer} from '../../src/operators/operator-commands.js';
import {createOperatorHttp, type Readiness} from '../../src/operators/operator-http.js';
import type {Operators} from '../../src/operators/operators.js';

const CHANGE_ID = '01941f29-7c00-7000-8000-000000000001';

describe('operator http', () => {
	let operators: Operators;
	let calls: unknown[][];
	let answer: CommandAnswer | Error;
	let readiness: Readiness;

	beforeEach(async () => {
		calls = [];
		answer = {status: 'ok', text: 'done', data: {groups: 1}};
		readiness = {ready: true};
		const metrics = createPromMetrics();
		metrics.countDroppedFrame();
		operators = createOperatorHttp({
			log: createSilentLog(),
			metrics,
			address: '127.0.0.1',
			port: 0,
			getReadiness: () => readiness,
			getAccess: () => ({identify: token => token === 'good' ? {name: 'dana', role: 'operate'} : undefined}),
			getCommands: () => ({
				async run(...args) {
					calls.push(args);
					if (answer instanceof Error) {
						throw answer;
					}

					return answer;
				},
			}),
		});
		await operators.start();
	});

	afterEach(async () => {
		await operators.stop();
	});

	const get = async (path: string) => {
		const res = await fetch(`http://127.0.0.1:${operators.port}${path}`);
		return {status: res.status, text: await res.text()};
	};

	const post = async (body: string, authorization = 'Bearer good') => {
		const res = await fetch(`http://127.0.0.1:${operators.port}/v1/commands`, {
			method: 'POST', body, headers: {authorization, 'content-type': 'application/json'},
		});
		return {status: res.status, body: await res.json() as CommandAnswer};
	};

	it('reports to the load balancer whether the host accepts callers', async () => {
		expect(await get('/ready')).to.deep.equal({status: 200, text: '{"ready":true}'});
		readiness = {ready: false, reason: 'leaving'};
		expect(await get('/ready')).to.deep.equal({status: 503, text: '{"ready":false,"reason":"leaving"}'});
		expect(await get('/live')).to.deep.equal({status: 200, text: '{"live":true}'});
	});

	it('shows the metrics', async () => {
		const {text} = await get('/metrics');
		expect(text).to.include('aldercroft_peer_frames_dropped_total 1');
	});

	it('runs a command as its operator, with its change id', async () => {
		const {status, body} = await post(JSON.stringify({command: 'drain endpoint e-1', changeId: CHANGE_ID}));
		expect([status, body]).to.deep.equal([200, answer]);
		expect(calls).to.deep.equal([['drain endpoint e-1', {name: 'dana', role: 'operate'}, CHANGE_ID]]);
	});

	describe('status', () => {
		const doTest = (commandStatus: CommandAnswer['status'], expected: number) => {
			it(`${commandStatus} is ${expected}`, async () => {
				answer = {status: commandStatus, text: 'text', data: null};
				expect(await post('{"command":"show groups"}')).to.deep.equal({status: expected, body: answer});
			});
		};

		doTest('ok', 200);
		doTest('refused', 409);
		doTest('malformed', 400);
	});

	describe('invalid commands', () => {
		const doTest = (body: string, authorization: string, status: number, expected: CommandAnswer['status'], text: string) => {
			it(`${body.slice(0, 30)} with ${authorization}: ${text}`, async () => {
				expect(await post(body, authorization)).to.deep.equal({status, body: {status: expected, text, data: null}});
				expect(calls).to.deep.equal([]);
			});
		};

		const command = '{"command":"show groups"}';
		doTest(command, '', 401, 'refused', 'no operator has this token');
		doTest(command, 'Bearer bad', 401, 'refused', 'no operator has this token');
		doTest(command, 'Basic good', 401, 'refused', 'no operator has this token');
		doTest('{"command":""}', 'Bearer good', 400, 'malformed', 'body command: Too small: expected string to have >=1 characters');
		doTest('{"command":"show groups","changeId":"1"}', 'Bearer good', 400, 'malformed', 'body changeId: expected a UUIDv7');
		doTest('{"command":', 'Bearer good', 400, 'malformed', 'Body is not valid JSON but content-type is set to \'application/json\'');
	});

	// A command fails half-way because of a fault of the host. If the response looked like a refusal, the operator would
	// assume that nothing was changed.
	it('does not report a fault of the host as the answer to a command', async () => {
		answer = new Error('bug');
		const {status, body} = await post('{"command":"show groups"}');
		expect(status).to.equal(500);
		expect(body).to.not.have.property('status');
	});
});
