import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import type {EndpointLink} from '../../src/links/endpoint-link.js';
import {createPromLinkMetrics} from '../../src/links/prom-link-metrics.js';
import {createLineLog} from '../../src/log/line-log.js';
import {createLineReader, MAX_LINE_BYTES} from '../../src/platform/line-reader.js';
import {createTcpLinkOpener} from '../../src/platform/tcp-link-opener.js';
import {createSystemClock} from '../../src/time/system-clock.js';

/** Text of an endpoint or caller that no log line and no metric may hold. */
const HUSH = 'hush';

describe('what a host logs and counts of answers over TCP', () => {
	let server: Server;
	let link: EndpointLink;
	/** What the endpoint sends right behind its greeting, and as answer to a request. */
	let script: {readonly greeting?: string; readonly answer?: string};

	before(async () => {
		server = createServer(socket => {
			const reader = createLineReader();
			socket.setEncoding('latin1');
			socket.on('error', () => {
				socket.destroy();
			});
			socket.on('data', (chunk: string) => {
				for (const line of reader.push(chunk) ?? []) {
					socket.write(line.startsWith('STARTUP') ? `READY I 3.7\r\n${script.greeting ?? ''}` : script.answer ?? '');
				}
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	after(() => {
		server.close();
	});

	async function open() {
		const {port} = server.address() as AddressInfo;
		const lines: string[] = [];
		const registry = new Registry();
		const opener = createTcpLinkOpener({
			clock: createSystemClock(),
			hostName: 'front-1',
			log: createLineLog((sentence, {address, ...fields}) => {
				lines.push(`${sentence} ${JSON.stringify(fields)}`);
			}),
			metrics: createPromLinkMetrics(registry),
		});
		link = await opener.open({address: `127.0.0.1:${port}`, group: 'nights', endpointId: 'i-1'}, 5000, {onSent() {}, onReceived() {}, onAnswered() {}}); // eslint-disable-line @typescript-eslint/no-empty-function
		const read = async () => {
			const text = await registry.metrics();
			expect(`${text} ${lines.join(' ')}`).to.not.include(HUSH);
			return text.split('\n').filter(line => /^[a-z].* [1-9]\d*$/v.test(line)).map(line => line.replace('aldercroft_', ''));
		};

		return {lines, read};
	}

	const ask = async () => link.exchange({id: 'c1', command: {kind: 'run', text: 'READ a'}}).catch((err: unknown) => (err as Error).name);

	function doTest(name: string, given: typeof script, fault: string) {
		it(name, async () => {
			script = given;
			const {lines, read} = await open();
			const outcome = given.answer === undefined
				? await new Promise(resolve => {
					if (link.closed) {
						resolve('closed');
					} else {
						link.onClose(() => {
							resolve('closed');
						});
					}
				})
				: await ask();
			expect([outcome, link.closed]).to.deep.equal([given.answer === undefined ? 'closed' : 'LinkLostError', true]);
			expect(lines).to.deep.equal([`endpoints: a connection is cut because of what its endpoint sent {"endpoint":"i-1","group":"nights","fault":"${fault}"}`]);
			expect(await read()).to.deep.equal([`link_faults_total{fault="${fault}"} 1`]);
		});
	}

	/** The rows and the end stayed with the connection, and the next request would have had them as its own. */
	doTest('cuts a connection whose endpoint sends rows that nobody asked for', {greeting: `DATAROW ${HUSH}\r\nCOMPLETE ${HUSH}\r\n`}, 'unmatched');
	doTest('cuts a connection whose endpoint sends an end that nobody asked for', {greeting: 'READY I 3.7\r\n'}, 'unmatched');
	doTest('cuts a connection whose endpoint sends an error that nobody asked for', {greeting: `ERROR BUSY ${HUSH}\r\n`}, 'unasked-error');
	doTest('cuts a connection whose endpoint ends an answer without a result', {answer: `DATAROW ${HUSH}\r\nREADY I 3.7\r\n`}, 'incomplete');
	doTest('cuts a connection whose endpoint sends an unknown line', {answer: `${HUSH}\r\n`}, 'unknown-line');
	doTest('cuts a connection whose endpoint sends a line over the size limit', {answer: `DATAROW ${HUSH.repeat(MAX_LINE_BYTES)}`}, 'too-long');

	/** The endpoint sends the two parts with one write, so that they arrive before the request is sent. */
	it('gives no caller the rows that nobody asked for', async () => {
		script = {greeting: `DATAROW ${HUSH}\r\nCOMPLETE ${HUSH}\r\n`, answer: 'READY I 3.7\r\n'};
		await open();
		expect(await ask()).to.equal('LinkLostError');
		expect(link.closed).to.equal(true);
	});

	it('counts a request that is not sent since it is too large', async () => {
		script = {};
		const {lines, read} = await open();
		const text = HUSH.padEnd(MAX_LINE_BYTES, 'x');
		const answer = await link.exchange({id: 'c1', command: {kind: 'run', text}});
		expect([answer.end.kind === 'error' && answer.end.code, lines]).to.deep.equal(['too-large', []]);
		expect(await read()).to.deep.equal(['oversized_requests_total 1']);
		link.cut();
	});
});
