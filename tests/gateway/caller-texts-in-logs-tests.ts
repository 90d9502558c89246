import {Writable} from 'node:stream';
import {expect} from 'chai';
import type {GatewayParts} from '../../src/gateway/gateway-parts.js';
import {createPromGatewayMetrics} from '../../src/gateway/prom-gateway-metrics.js';
import {observeStatement} from '../../src/gateway/observe-statement.js';
import {refuse, type StatementResult} from '../../src/gateway/statement-result.js';
import {createStatementTrace} from '../../src/gateway/statement-trace.js';
import {createBunyanLog} from '../../src/log/bunyan-log.js';
import {createLineLog} from '../../src/log/line-log.js';
import {MAX_TEXT_LENGTH} from '../../src/log/redact.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {AnswerCode} from '../../src/statements/statement-answer.js';
import {createProxyBench} from '../proxy/proxy-bench.js';

/** Text of a caller that no log line and no metric may hold. */
const HUSH = 'hush';

describe('texts of callers in logs and metrics', () => {
	/** Runs requests of callers at proxies and returns the log lines as printed. */
	async function collectLines(run: (bench: Awaited<ReturnType<typeof createProxyBench>>) => Promise<void>): Promise<readonly string[]> {
		const lines: string[] = [];
		const stream = new Writable({
			write(chunk: Uint8Array, _encoding, done) {
				lines.push(String(chunk));
				done();
			},
		});
		const log = createBunyanLog({
			clock: createVirtualClock(), name: 'aldercroft-proxy', hostName: 'entry-1', level: 'debug', stream,
		});
		const bench = await createProxyBench({log});
		lines.length = 0;
		await run(bench);
		return lines;
	}

	/** A caller sent a key, or anything else of up to 1 MiB, in the place of the database, and each host logged it as it was. */
	it('leave out the name of a database that no route has', async () => {
		const lines = await collectLines(async bench => {
			await bench.open(bench.proxies[0]!, `${HUSH} ${'x'.repeat(1000)}`);
		});
		expect(lines.join('')).to.include('a database has no route').and.include('"databaseBytes":1005').and.not.include(HUSH);
	});

	it('hold the name of a database that a route has', async () => {
		const lines = await collectLines(async bench => {
			const caller = await bench.open(bench.proxies[0]!, 'sync');
			await bench.ask(caller, `EXECUTE ${HUSH} 1`);
		});
		expect(lines.join('')).to.include('a statement was refused').and.include('"database":"sync"').and.not.include(HUSH);
	});

	it('hold no statement, value or name that was refused', async () => {
		const lines = await collectLines(async bench => {
			const caller = await bench.open(bench.proxies[0]!, 'sync');
			for (const text of [`SET ${HUSH} ${HUSH}${'x'.repeat(2_200_000)}`, `PARSE s WRITE ${HUSH}`, 'BEGIN READ', `EXECUTE s ${HUSH} ${HUSH}`, `WRITE ${HUSH} ${HUSH}`, 'ROLLBACK', HUSH]) {
				await bench.ask(caller, text);
			}
		});
		expect(lines.filter(line => line.includes('a statement was refused')).length).to.be.greaterThan(2);
		expect(lines.join('')).to.not.include(HUSH);
	});

	/** An id may be as long as a message: one refused request wrote a line of 1 MiB. */
	it('hold the beginning of a request id only', async () => {
		const lines = await collectLines(async bench => {
			const caller = await bench.open(bench.proxies[0]!, 'sync');
			await bench.ask(caller, 'EXECUTE none 1', 'i'.repeat(1_000_000));
		});
		const refused = lines.find(line => line.includes('a statement was refused'))!;
		expect(refused).to.include(`"id":"${'i'.repeat(MAX_TEXT_LENGTH)} [1000000 characters]"`);
		expect(Math.max(...lines.map(line => line.length))).to.be.lessThan(2000);
	});

	function doTest(name: string, result: StatementResult, expected: string) {
		it(name, async () => {
			const lines: string[] = [];
			const metrics = createPromGatewayMetrics();
			const parts = {
				elapsedClock: {elapsed: () => 0},
				log: createLineLog((_sentence, fields) => {
					lines.push(String(fields.text));
				}),
				metrics,
				mirror: {state: {leadership: new Map()}},
			} as unknown as GatewayParts;
			observeStatement(parts, {
				req: {id: 'c1', statement: {kind: 'execute', name: HUSH, args: HUSH}}, result, tookMs: 1, database: 'sync', route: undefined, trace: createStatementTrace(),
			});
			expect(lines).to.deep.equal([expected]);
			expect(await metrics.render()).to.not.include(HUSH);
		});
	}

	doTest('leave out an endpoint\'s text, which may repeat the statement', {rows: [], end: {kind: 'error', code: AnswerCode.Failed, text: `at ${HUSH}`}}, 'an endpoint answered so');
	doTest('hold the host\'s own reason', refuse(AnswerCode.Overloaded, 'too much waits'), 'too much waits');
});
