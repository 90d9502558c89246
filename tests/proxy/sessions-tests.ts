import {expect} from 'chai';
import {createProxyBench} from './proxy-bench.js';

describe('a whole session', () => {
	function doTest(name: string, database: string, lines: ReadonlyArray<readonly [text: string, answer: string]>) {
		it(name, async () => {
			const bench = await createProxyBench();
			const caller = await bench.open(bench.proxies[0]!, database);
			const answers: Array<readonly [string, string]> = [];
			for (const [text] of lines) {
				answers.push([text, await bench.ask(caller, text)]);
			}

			expect(answers).to.deep.equal(lines);
		});
	}

	doTest('reads its own writes', 'roster', [
		['WRITE a 1', 'done idle'],
		['READ a', 'done 1 idle'],
		['WRITE a 2', 'done idle'],
		['READ a', 'done 2 idle'],
	]);
	doTest('runs a transaction to its commit', 'sync', [
		['BEGIN', 'done open'],
		['WRITE a 1', 'done open'],
		['READ a', 'done - open'],
		['COMMIT', 'done idle'],
		['READ a', 'done 1 idle'],
	]);
	doTest('rolls back', 'sync', [
		['BEGIN', 'done open'],
		['WRITE a 1', 'done open'],
		['ROLLBACK', 'done idle'],
		['READ a', 'done - idle'],
	]);
	doTest('refuses a write in a read-only transaction, and everything after it until the rollback', 'sync', [
		['BEGIN READ', 'done open'],
		['WRITE a 1', 'read-only failed'],
		['READ a', 'malformed failed'],
		['ROLLBACK', 'done idle'],
		['READ a', 'done - idle'],
	]);
	doTest('ends a failed transaction on its commit, which commits nothing', 'sync', [
		['BEGIN READ', 'done open'],
		['WRITE a 1', 'read-only failed'],
		['COMMIT', 'aborted idle'],
		['READ a', 'done - idle'],
	]);
	doTest('runs prepared statements under the caller\'s names', 'sync', [
		['PARSE s1 WRITE q', 'done idle'],
		['PARSE s2 READ q', 'done idle'],
		['EXECUTE s1 a 5', 'done idle'],
		['EXECUTE s2 a', 'done 5 idle'],
		['CLOSE s2', 'done idle'],
		['EXECUTE s2 a', 'unknown-statement idle'],
	]);
	doTest('answers statements that are malformed or not allowed in its state', 'sync', [
		['STATUS', 'malformed idle'],
		['COMMIT', 'malformed idle'],
		['BEGIN', 'done open'],
		['BEGIN', 'malformed open'],
		['ROLLBACK', 'done idle'],
		['ROLLBACK', 'done idle'],
	]);
	doTest('reads in a transaction under the route\'s policy', 'review', [
		['BEGIN READ', 'done open'],
		['READ a', 'done - open'],
		['COMMIT', 'done idle'],
	]);

	it('refuses a database without a route', async () => {
		const bench = await createProxyBench();
		const caller = await bench.open(bench.proxies[0]!, 'nowhere');
		expect(caller.refusal).to.equal('unknown-database');
		expect(caller.closed).to.equal(true);
	});

	/** Callers open sessions on one unknown database after the other. With a call to the store for each, the store would refuse the calls that matter. */
	it('calls the store at most five times a second for databases without a route', async () => {
		const bench = await createProxyBench({proxies: 1});
		const before = bench.system.store.calls;
		const startedAt = bench.clock.now();
		for (let i = 0; i < 200; i++) {
			const caller = await bench.open(bench.proxies[0]!, `nowhere-${i}`);
			expect(caller.refusal).to.equal('unknown-database');
			await bench.clock.advance(5);
		}

		const seconds = (bench.clock.now() - startedAt) / 1000;
		expect(bench.system.store.calls - before).to.be.lessThan((7 * seconds) + 2);
	});

	/**
	 * Two callers give their prepared statements the same name, and set the same session value differently. On a connection
	 * that both use in turn, the second caller could run the first one's statement, with the first one's value.
	 */
	it('separates the prepared names and session values of two callers on a shared connection', async () => {
		const bench = await createProxyBench({proxies: 1, maxConnections: 3});
		const [left, right] = [await bench.open(bench.proxies[0]!, 'sync'), await bench.open(bench.proxies[0]!, 'sync')];
		await bench.ask(left, 'PARSE s WRITE q');
		await bench.ask(right, 'PARSE s READ q');
		await bench.ask(left, 'SET zone north');
		expect(await bench.ask(left, 'EXECUTE s a 1')).to.equal('done idle');
		expect(await bench.ask(right, 'EXECUTE s a')).to.equal('done 1 idle');
		const sessions = [...bench.getPrimary().sessions];
		expect(sessions.map(({values}) => [...values])).to.deep.equal([[]]);
		await bench.ask(left, 'READ a');
		expect(sessions.map(({values}) => [...values])).to.deep.equal([[['zone', 'north']]]);
	});

	/**
	 * A caller disconnects in the middle of a transaction. The next caller's write must not run inside it, and the first one's
	 * must not be committed.
	 */
	it('rolls back the transaction of a caller that disconnects', async () => {
		const bench = await createProxyBench({proxies: 1, maxConnections: 3});
		const left = await bench.open(bench.proxies[0]!, 'sync');
		await bench.ask(left, 'BEGIN');
		await bench.ask(left, 'WRITE a 1', 'lost');
		left.leave();
		const right = await bench.open(bench.proxies[0]!, 'sync');
		expect(await bench.ask(right, 'WRITE b 2', 'kept')).to.equal('done idle');
		expect(await bench.ask(right, 'READ a')).to.equal('done - idle');
		expect(bench.ran.filter(line => line.includes('commit'))).to.deep.equal(['nights-1 commit kept']);
	});

	it('sends a commit again that the endpoint refused for overload', async () => {
		const bench = await createProxyBench();
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		await bench.ask(caller, 'BEGIN');
		await bench.ask(caller, 'WRITE a 1');
		bench.getPrimary().commitsToReject = 2;
		expect(await bench.ask(caller, 'COMMIT', 'c')).to.equal('done idle');
		expect(bench.ran.filter(line => line.includes('commit'))).to.deep.equal(['nights-1 commit c']);
	});

	/**
	 * An endpoint refuses a commit until the statement timeout. Its caller is answered that nothing was committed, but at the endpoint the transaction is
	 * still open: the next caller's write on that connection would run inside it, and a commit there would commit both.
	 */
	it('does not reuse the connection of a transaction that is still open', async () => {
		const bench = await createProxyBench({proxies: 1, maxConnections: 3});
		const left = await bench.open(bench.proxies[0]!, 'sync');
		await bench.ask(left, 'BEGIN');
		await bench.ask(left, 'WRITE a 1', 'refused');
		bench.getPrimary().commitsToReject = 1000;
		expect(await bench.ask(left, 'COMMIT')).to.equal('overloaded idle');
		bench.getPrimary().commitsToReject = 0;
		const right = await bench.open(bench.proxies[0]!, 'sync');
		expect(await bench.ask(right, 'WRITE b 2', 'kept')).to.equal('done idle');
		expect(await bench.ask(right, 'READ a')).to.equal('done - idle');
		expect(bench.ran.filter(line => line.includes('commit'))).to.deep.equal(['nights-1 commit kept']);
	});

	it('rolls back a transaction that stays idle and reports it with the next statement', async () => {
		const bench = await createProxyBench();
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		await bench.ask(caller, 'BEGIN');
		await bench.ask(caller, 'WRITE a 1');
		await bench.clock.advance(3100);
		expect(await bench.ask(caller, 'COMMIT')).to.equal('aborted idle');
		expect(await bench.ask(caller, 'READ a')).to.equal('done - idle');
	});
});
