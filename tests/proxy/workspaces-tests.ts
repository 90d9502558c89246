import {expect} from 'chai';
import {createLineLog} from '../../src/log/line-log.js';
import type {Routing} from '../../src/routes/routing.js';
import type {Workspace} from '../../src/workspaces/workspace.js';
import {createProxyBench, ROUTES, type ProxyBench} from './proxy-bench.js';

const REVOKE_WITHIN_MS = 5000;

const WORKSPACES: readonly Workspace[] = [
	{name: 'north', keys: ['key-n1', 'key-n2'], priority: 0},
	{name: 'south', keys: ['key-s'], priority: 0},
	{
		name: 'west', keys: ['key-w'], priority: 0, limit: {ratePerSecond: 4, burst: 8},
	},
];

const createBench = async (options = {}) => createProxyBench({workspaces: WORKSPACES, revokeWithinMs: REVOKE_WITHIN_MS, ...options});

const openFor = async (bench: ProxyBench, key: string, database = 'sync') => bench.open(bench.proxies[0]!, database, undefined, key);

const getRefusal = async (bench: ProxyBench, key: string) => {
	const {refusal} = await openFor(bench, key);
	return refusal;
};

/** Writes a configuration with these workspaces. */
function change({system}: ProxyBench, workspaces: readonly Workspace[]) {
	const routing: Routing = {
		version: 2,
		routes: new Map(ROUTES.map(route => [route.database, {...route, needsKey: true}])),
		groups: new Map([['nights', {name: 'nights', maxConnections: 22}]]),
		workspaces: new Map(workspaces.map(workspace => [workspace.name, workspace])),
		idleTransactionMs: 3000,
	};
	system.store.setRouting(routing);
}

const withoutKey = (key: string) => WORKSPACES.map(workspace => ({...workspace, keys: workspace.keys.filter(other => other !== key)}));

describe('a caller with a key', () => {
	it('has its statements run for its workspace', async () => {
		const bench = await createBench();
		const north = await openFor(bench, 'key-n1');
		const south = await openFor(bench, 'key-s');
		await bench.ask(north, 'WRITE a 1', 'n1');
		await bench.ask(south, 'WRITE b 1', 's1');
		await bench.ask(north, 'READ b', 'n2');
		expect(bench.ran.map(line => line.replace(/^\S+ /v, ''))).to.deep.equal(['commit n1 for north', 'commit s1 for south', 'read n2 for north']);
	});

	function doTest(name: string, key: string) {
		it(name, async () => {
			const bench = await createBench();
			const caller = await openFor(bench, key);
			expect(caller.refusal).to.equal('unauthenticated');
			expect(bench.ran).to.deep.equal([]);
		});
	}

	doTest('is refused its session where the key is unknown', 'key-x');
	doTest('is refused its session where the key is empty', '');

	it('is refused once its key is revoked, in an open session and in an open transaction', async () => {
		const bench = await createBench();
		const single = await openFor(bench, 'key-n1');
		const inTransaction = await openFor(bench, 'key-n1');
		const other = await openFor(bench, 'key-n2');
		await bench.ask(inTransaction, 'BEGIN');
		await bench.ask(inTransaction, 'WRITE a 1');
		change(bench, withoutKey('key-n1'));
		await bench.clock.advance(2000);
		expect(await bench.ask(single, 'READ a')).to.equal('unauthenticated idle');
		expect(await bench.ask(inTransaction, 'COMMIT')).to.equal('unauthenticated idle');
		expect(await bench.ask(other, 'READ a')).to.equal('done - idle');
		expect(bench.ran.filter(line => line.includes('commit'))).to.deep.equal([]);
	});

	/**
	 * The store does not answer, and no peer can confirm the configuration, while an operator may revoke a key. A primary lease may outlast the outage, but says
	 * nothing about keys. A request that ran under the key later than the bound could be served to a caller whose access was revoked.
	 */
	it('is refused by a host that could not confirm the keys within the bound', async () => {
		const bench = await createBench();
		const caller = await openFor(bench, 'key-n1', 'review');
		bench.system.store.setFaults(undefined, {silent: true});
		await bench.clock.advance(REVOKE_WITHIN_MS - 2500);
		expect(await bench.ask(caller, 'READ a')).to.equal('done - idle');
		await bench.clock.advance(3500);
		expect(await bench.ask(caller, 'READ a', 'late')).to.equal('overloaded idle');
		expect(bench.ran.filter(line => line.includes('late'))).to.deep.equal([]);
	});

	it('is served by a host that the store refuses while its peers still read the store', async () => {
		const bench = await createBench();
		const caller = await openFor(bench, 'key-n1');
		bench.system.store.setFaults('entry-1', {refused: true});
		await bench.clock.advance(REVOKE_WITHIN_MS * 2);
		expect(await bench.ask(caller, 'READ a')).to.equal('done - idle');
	});

	/** A host that the store turns away must not deny a key that the operator may have added since. */
	it('is refused as busy where its host cannot tell whether a workspace has received its key', async () => {
		const bench = await createBench({revokeWithinMs: undefined});
		bench.system.store.setFaults(undefined, {refused: true});
		change(bench, [...WORKSPACES, {name: 'east', keys: ['key-e'], priority: 0}]);
		await bench.clock.advance(3500);
		expect(await getRefusal(bench, 'key-e')).to.equal('overloaded');
		bench.system.store.heal();
		await bench.clock.advance(2000);
		expect(await getRefusal(bench, 'key-e')).to.equal(undefined);
	});

	it('is refused over the rate limit of its workspace, before anything runs', async () => {
		const bench = await createBench();
		const caller = await openFor(bench, 'key-w');
		const answers: string[] = [];
		for (let i = 0; i < 12; i++) {
			answers.push(await bench.ask(caller, 'READ a', `r${i}`));
		}

		expect(answers.at(0)).to.equal('done - idle');
		expect(answers.at(-1)).to.equal('rate-limited idle');
		expect(bench.ran).to.have.length(answers.filter(answer => answer.startsWith('done')).length);
	});

	it('has a transaction count once towards the rate limit', async () => {
		const bench = await createBench();
		await bench.clock.advance(5000);
		const caller = await openFor(bench, 'key-w');
		await bench.ask(caller, 'BEGIN');
		for (let i = 0; i < 12; i++) {
			expect(await bench.ask(caller, 'READ a')).to.equal('done - open');
		}

		expect(await bench.ask(caller, 'COMMIT')).to.equal('done idle');
	});

	it('is identified in log lines by its workspace, never by its key', async () => {
		const lines: string[] = [];
		const bench = await createBench({log: createLineLog((sentence, fields) => lines.push(`${sentence} ${JSON.stringify(fields)}`))});
		for (const key of ['key-w', 'key-x']) {
			const caller = await openFor(bench, key);
			for (let i = 0; i < 12 && !caller.closed; i++) {
				await bench.ask(caller, 'READ a');
			}
		}

		expect(lines.some(line => line.includes('a statement was refused') && line.includes('west'))).to.equal(true);
		expect(lines.filter(line => line.includes('key-'))).to.deep.equal([]);
	});

	/** An endpoint accepts fewer connections than there are workspaces. A workspace whose callers connect last must not wait until others disconnect. */
	it('is served even where other workspaces have used every connection', async () => {
		const workspaces = Array.from({length: 30}, (_, i): Workspace => ({name: `w${i}`, keys: [`k${i}`], priority: 0}));
		const bench = await createBench({workspaces, proxies: 1, maxConnections: 8});
		const answers: string[] = [];
		for (const {keys: [key]} of workspaces) {
			answers.push(await bench.ask(await openFor(bench, key!), 'READ a'));
		}

		expect(answers).to.deep.equal(workspaces.map(() => 'done - idle'));
	});
});
