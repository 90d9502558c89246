import {expect} from 'chai';
import {Registry} from 'prom-client';
import {createEndpointPool} from '../../src/links/create-endpoint-pool.js';
import {MAX_PREPARED} from '../../src/links/prepared-names.js';
import {createPromSessionMetrics} from '../../src/links/prom-session-metrics.js';
import {createLineLog} from '../../src/log/line-log.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {Access, SessionState} from '../../src/statements/statement.js';
import type {EndpointAnswer} from '../../src/statements/statement-answer.js';
import {createLineEndpoint} from './line-endpoint.js';

/** Text of a caller that no log line and no metric may hold. */
const HUSH = 'hush';

/** Creates a pool whose connections go to one endpoint, with a connection of it, its log lines and its metrics. */
async function createBench() {
	const clock = createVirtualClock();
	const endpoint = createLineEndpoint();
	const registry = new Registry();
	const lines: string[] = [];
	const pool = createEndpointPool({
		target: {address: '10.1.0.9:8080', group: 'nights', endpointId: 'i-1'},
		opener: {
			open: async () => endpoint.link,
		},
		clock,
		log: createLineLog((sentence, fields) => {
			lines.push(`${sentence} ${JSON.stringify(fields)}`);
		}),
		sessionMetrics: createPromSessionMetrics(registry),
		getLimits: () => ({maxConnections: 5, hosts: 1, isPoolHost: true}),
		getMinPosition: () => undefined,
	});
	const sessionLink = (await clock.runUntil(pool.acquire({
		priority: 1, until: clock.now() + 500, values: new Map(), single: true,
	})))!;
	const execute = async (shape: string, values: Record<string, string> = {}): Promise<EndpointAnswer | string> => sessionLink.exchange(
		{id: 'c1', command: {kind: 'execute', args: HUSH}},
		{values: new Map(Object.entries(values)), prepared: {access: Access.Read, shape: `${HUSH} ${shape}`}},
	).catch((err: unknown) => (err as Error).name);
	const read = async () => {
		const text = await registry.metrics();
		expect(text).to.not.include(HUSH);
		expect(lines.join('\n')).to.not.include(HUSH);
		return text.split('\n').filter(line => /^[a-z].* [1-9]\d*$/v.test(line)).map(line => line.replace('aldercroft_', ''));
	};

	return {
		endpoint, lines, execute, read,
	};
}

function describeOutcome(outcome: EndpointAnswer | string): string {
	return typeof outcome === 'string' ? outcome : `${outcome.end.kind === 'error' ? outcome.end.code : 'done'} ${outcome.state}`;
}

describe('what a host logs and counts of the sessions on its connections', () => {
	function doTest(name: string, state: SessionState, expected: string) {
		it(name, async () => {
			const {endpoint, lines, execute, read} = await createBench();
			await execute('q1');
			await endpoint.link.exchange({command: {kind: 'reset'}});
			endpoint.state = state;
			expect(describeOutcome(await execute('q1'))).to.equal(expected);
			expect(endpoint.link.closed).to.equal(true);
			expect(await read()).to.deep.equal(['prepared_names_unknown_total 1']);
			expect(lines).to.deep.equal(['an endpoint does not know a statement that it had prepared; the connection is cut {"endpoint":"i-1","group":"nights","prepared":1}']);
		});
	}

	doTest('does not use a connection on whose endpoint does not know a prepared statement', SessionState.Idle, 'unknown-statement idle');
	doTest('rolls a transaction back whose endpoint does not know a prepared statement, instead of telling its caller that the name is unknown', SessionState.Failed, 'aborted idle');

	it('shows a refused session command by its kind', async () => {
		const {endpoint, lines, execute, read} = await createBench();
		endpoint.refuses = line => line.includes('PARSE');
		expect(await execute('q1', {[HUSH]: HUSH})).to.equal('LinkLostError');
		expect(await read()).to.deep.equal(['session_commands_refused_total{command="prepare"} 1']);
		expect(lines).to.have.lengthOf(1);
	});

	it('shows how many statements are prepared and closed, none once the connection is closed', async () => {
		const {endpoint, execute, read} = await createBench();
		for (let i = 0; i < MAX_PREPARED + 3; i++) {
			await execute(`q${i}`);
		}

		expect(await read()).to.deep.equal(['prepared_statements_closed_total 3', `prepared_statements ${MAX_PREPARED}`]);
		await execute('q1', {a: '1'});
		await execute('q1');
		expect(await read()).to.deep.equal(['prepared_statements_closed_total 4', 'prepared_statements 1']);
		endpoint.link.cut();
		expect(await read()).to.deep.equal(['prepared_statements_closed_total 4']);
	});
});
