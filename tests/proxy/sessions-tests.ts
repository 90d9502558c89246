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
	doTest('keeps a transaction together', 'sync', [
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
	doTest('refuses a write in a transaction that reads, and all else until it is rolled back', 'sync', [
		['BEGIN READ', 'done open'],
		['WRITE a 1', 'read-only failed'],
		['READ a', 'malformed failed'],
		['ROLLBACK', 'done idle'],
		['READ a', 'done - idle'],
	]);
	doTest('ends a failed transaction by its commit, which keeps nothing', 'sync', [
		['BEGIN READ', 'done open'],
		['WRITE a 1', 'read-only failed'],
		['COMMIT', 'aborted idle'],
		['READ a', 'done - idle'],
	]);
	doTest('runs prepared statements by the caller\'s names', 'sync', [
		['PARSE s1 WRITE q', 'done idle'],
		['PARSE s2 READ q', 'done idle'],
		['EXECUTE s1 a 5', 'done idle'],
		['EXECUTE s2 a', 'done 5 idle'],
		['CLOSE s2', 'done idle'],
		['EXECUTE s2 a', 'unknown-statement idle'],
	]);
	doTest('answers what it does not understand', 'sync', [
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

	it('refuses a database that no route names', async () => {
		const bench = await createProxyBench();
		const caller = await bench.open(bench.proxies[0]!, 'nowhere');
		expect(caller.refusal).to.equal('unknown-database');
		expect(caller.closed).to.equal(true);
	});

	/** Callers ask for one name after the other that no route has. The store would be asked for each, and turn away what matters. */
	it('asks the store no more often than five times a second for names that no route has', async () => {
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
	 * Two callers name their prepared statements alike, and set the same session value differently. On connections that
	 * both are lent in turn, the second would run the first one's statement, under the first one's value.
	 */
	it('keeps names and values of two callers apart on the connections they share', async () => {
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
	 * A caller leaves in the middle of a transaction. The next caller's write must not run inside it, and the first one's
	 * must not be kept.
	 */
	it('rolls back for a caller that leaves', async () => {
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

	it('repeats a commit that the endpoint turned away', async () => {
		const bench = await createProxyBench();
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		await bench.ask(caller, 'BEGIN');
		await bench.ask(caller, 'WRITE a 1');
		bench.getPrimary().turnAwayCommits = 2;
		expect(await bench.ask(caller, 'COMMIT', 'c')).to.equal('done idle');
		expect(bench.ran.filter(line => line.includes('commit'))).to.deep.equal(['nights-1 commit c']);
	});

	/**
	 * An endpoint turns a commit away for as long as the statement may take. Its caller is told that nothing is kept, but at the endpoint the transaction is
	 * still open: the next caller's write on that connection would join it, and a commit there would keep both.
	 */
	it('lends nobody the connection of a transaction that is still open', async () => {
		const bench = await createProxyBench({proxies: 1, maxConnections: 3});
		const left = await bench.open(bench.proxies[0]!, 'sync');
		await bench.ask(left, 'BEGIN');
		await bench.ask(left, 'WRITE a 1', 'refused');
		bench.getPrimary().turnAwayCommits = 1000;
		expect(await bench.ask(left, 'COMMIT')).to.equal('overloaded idle');
		bench.getPrimary().turnAwayCommits = 0;
		const right = await bench.open(bench.proxies[0]!, 'sync');
		expect(await bench.ask(right, 'WRITE b 2', 'kept')).to.equal('done idle');
		expect(await bench.ask(right, 'READ a')).to.equal('done - idle');
		expect(bench.ran.filter(line => line.includes('commit'))).to.deep.equal(['nights-1 commit kept']);
	});

	it('ends a transaction that stays idle and says so with the next statement', async () => {
		const bench = await createProxyBench();
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		await bench.ask(caller, 'BEGIN');
		await bench.ask(caller, 'WRITE a 1');
		await bench.clock.advance(3100);
		expect(await bench.ask(caller, 'COMMIT')).to.equal('aborted idle');
		expect(await bench.ask(caller, 'READ a')).to.equal('done - idle');
	});
});
