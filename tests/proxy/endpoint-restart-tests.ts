import {expect} from 'chai';
import {createProxyBench, type ProxyBench} from './proxy-bench.js';

/** Reads an item on the route `sync` at every proxy until it is answered, for up to 8 s; returns the last answer of each. */
async function readEverywhere(bench: ProxyBench, item: string): Promise<readonly string[]> {
	const answers = [];
	for (const proxy of bench.proxies) {
		const caller = await bench.open(proxy, 'sync');
		const until = bench.clock.now() + 8000;
		let answer = await bench.ask(caller, `READ ${item}`);
		while (!answer.startsWith('done') && bench.clock.now() < until) {
			await bench.clock.advance(20);
			answer = await bench.ask(caller, `READ ${item}`);
		}

		answers.push(answer);
	}

	return answers;
}

/** Creates a bench where an item was written, read at every proxy and received by the replicas. */
async function createBenchWithNight() {
	const bench = await createProxyBench({promoteMs: 600});
	const caller = await bench.open(bench.proxies[0]!, 'sync');
	expect(await bench.ask(caller, 'WRITE night 41')).to.equal('done idle');
	expect(await readEverywhere(bench, 'night')).to.deep.equal(['done 41 idle', 'done 41 idle', 'done 41 idle']);
	await bench.clock.advance(200);
	return bench;
}

describe('an endpoint that restarts under its id', () => {
	/**
	 * The primary restarts at once and has lost its log. For two seconds its entry still names the former incarnation, and the leadership record names it as the
	 * primary. A proxy that connects again is greeted under the expected id, and its callers would read an empty log.
	 */
	it('serves no caller from its empty log as the primary while its entry is out of date', async () => {
		const bench = await createBenchWithNight();
		bench.group.restartEmpty(bench.getPrimary());
		void bench.clock.sleep(2000).then(bench.system.registerEndpoints);
		expect(await readEverywhere(bench, 'night')).to.deep.equal(['done 41 idle', 'done 41 idle', 'done 41 idle']);
		expect(bench.group.latestPrimary.id).to.not.equal('nights-1');
	});

	/**
	 * The same with the new entry known at once. The incarnation that was the primary is over, so its connections are closed, and a replica that holds the item
	 * becomes the primary within a promotion and a second. By the server's id alone the primary would seem never to have restarted.
	 */
	it('is no longer the primary once its new incarnation is registered', async () => {
		const bench = await createBenchWithNight();
		const startedAt = bench.clock.now();
		bench.group.restartEmpty(bench.getPrimary());
		bench.system.registerEndpoints();
		const caller = await bench.open(bench.proxies[1]!, 'sync');
		while (await bench.ask(caller, 'WRITE night 42') !== 'done idle') {
			await bench.clock.advance(20);
		}

		expect(bench.clock.now() - startedAt).to.be.lessThan(2200);
		expect(bench.group.latestPrimary.id).to.not.equal('nights-1');
	});

	/**
	 * A replica restarts with an empty log. The recorded positions and lag belong to its former incarnation; it receives the whole log again and serves reads again.
	 */
	it('serves reads again as a replica', async () => {
		const bench = await createBenchWithNight();
		bench.group.restartEmpty(bench.group.servers[1]!);
		bench.system.registerEndpoints();
		await bench.clock.advance(3000);
		// A read at the primary gives the proxy a position, without which it sends no read to a replica.
		await readEverywhere(bench, 'night');
		await bench.clock.advance(100);
		bench.ran.length = 0;
		const caller = await bench.open(bench.proxies[1]!, 'review');
		expect(await bench.ask(caller, 'READ night')).to.equal('done 41 idle');
		expect(bench.ran[0]).to.match(/^nights-2 read/v);
	});
});
