import {expect} from 'chai';
import {createProxyBench, type ProxyBench} from './proxy-bench.js';

/** Reads an item of the policy `sync` until it is answered, at every proxy; tells what came, or that nothing did within 8 s. */
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

/** A night was written, seen at every proxy and received by the replicas. */
async function createBenchWithNight() {
	const bench = await createProxyBench({promoteMs: 600});
	const caller = await bench.open(bench.proxies[0]!, 'sync');
	expect(await bench.ask(caller, 'WRITE night 41')).to.equal('done idle');
	expect(await readEverywhere(bench, 'night')).to.deep.equal(['done 41 idle', 'done 41 idle', 'done 41 idle']);
	await bench.clock.advance(200);
	return bench;
}

describe('an endpoint that starts again under its id', () => {
	/**
	 * A member's night was synced. The primary starts again at once and has lost its log; for two seconds its entry still names the life before, and
	 * the record says that it leads. A proxy that connects anew gets a friendly greeting under the right id, and would show a member no night at all.
	 */
	it('shows no caller its empty log as the primary\'s while its entry is late', async () => {
		const bench = await createBenchWithNight();
		bench.group.startOver(bench.getPrimary());
		void bench.clock.sleep(2000).then(bench.system.registerEndpoints);
		expect(await readEverywhere(bench, 'night')).to.deep.equal(['done 41 idle', 'done 41 idle', 'done 41 idle']);
		expect(bench.group.leader.id).to.not.equal('nights-1');
	});

	/**
	 * The same with the new entry seen at once. The life that led is over, so its connections are closed and a replica, which holds the night, leads
	 * within a promotion and a second: the server's id alone would have looked as if the primary had never gone.
	 */
	it('is no primary any more once its new life is registered', async () => {
		const bench = await createBenchWithNight();
		const startedAt = bench.clock.now();
		bench.group.startOver(bench.getPrimary());
		bench.system.registerEndpoints();
		const caller = await bench.open(bench.proxies[1]!, 'sync');
		while (await bench.ask(caller, 'WRITE night 42') !== 'done idle') {
			await bench.clock.advance(20);
		}

		expect(bench.clock.now() - startedAt).to.be.lessThan(2200);
		expect(bench.group.leader.id).to.not.equal('nights-1');
	});

	/**
	 * A replica starts again empty. What was learned of its log and its lag belongs to the life before; it receives the whole log anew and serves reads again.
	 */
	it('serves reads again as a replica', async () => {
		const bench = await createBenchWithNight();
		bench.group.startOver(bench.group.servers[1]!);
		bench.system.registerEndpoints();
		await bench.clock.advance(3000);
		// A read at the primary tells the proxy a position, without which it asks no replica.
		await readEverywhere(bench, 'night');
		await bench.clock.advance(100);
		bench.ran.length = 0;
		const caller = await bench.open(bench.proxies[1]!, 'review');
		expect(await bench.ask(caller, 'READ night')).to.equal('done 41 idle');
		expect(bench.ran[0]).to.match(/^nights-2 read/v);
	});
});
