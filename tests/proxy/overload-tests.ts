import {expect} from 'chai';
import {createProxyBench, ROUTES} from './proxy-bench.js';
import {slowDown} from './leaving-bench.js';

const [SYNC] = ROUTES;

describe('a group whose load exceeds what its endpoints can run', () => {
	/**
	 * Every connection of the primary is in use, and more callers come. If they queued until their timeout, they would be refused with no time left for another
	 * try, and each later caller would meet a queue as long.
	 */
	it('refuses statements that have queued for twice their latency target, with a retry-after', async () => {
		const bench = await createProxyBench({proxies: 1, maxConnections: 4});
		slowDown(bench, 900);
		const callers = [];
		for (let i = 0; i < 12; i++) {
			callers.push(await bench.open(bench.proxies[0]!, 'sync'));
		}

		const askedAt = bench.clock.now();
		const answers = await bench.clock.runUntil(Promise.all(callers.map(async (caller, i) => {
			const answer = await bench.send(caller, 'READ a', `read-${i}`);
			return {answer, tookMs: bench.clock.now() - askedAt};
		})));
		const refused = answers.filter(({answer}) => answer?.end.kind === 'error');
		expect(refused.length).to.be.at.least(6);
		for (const {answer, tookMs} of refused) {
			expect(answer!.end).to.include({code: 'overloaded'});
			expect(answer!.end.kind === 'error' && answer!.end.text).to.match(/^retry-after-ms=\d+ /v);
			expect(tookMs).to.be.at.most((SYNC!.targetLatencyMs * 2) + 50);
		}

		const ids = new Set(bench.ran.map(line => line.split(' ')[2]));
		expect(answers.filter(({answer}, i) => answer?.end.kind === 'error' && ids.has(`read-${i}`))).to.deep.equal([]);
	});

	it('waits longer where no primary is known, since that ends without a decrease in load', async () => {
		const bench = await createProxyBench({proxies: 3, promoteMs: 100});
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		bench.group.crash(bench.getPrimary());
		bench.system.registerEndpoints();
		const askedAt = bench.clock.now();
		const answer = await bench.ask(caller, 'READ a');
		const tookMs = bench.clock.now() - askedAt;
		expect(answer === 'done - idle' || tookMs >= SYNC!.statementTimeoutMs).to.equal(true);
	});
});
