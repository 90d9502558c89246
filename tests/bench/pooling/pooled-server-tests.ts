import {expect} from 'chai';
import {createPooledServer} from '../../../src/bench/pooling/pooled-server.js';
import {runPoolingScenario} from '../../../src/bench/pooling/pooling-scenario.js';
import {createVirtualSchedule} from '../../../src/bench/virtual-schedule.js';

describe('pooled server', () => {
	it('accepts no more connections than its cap, and counts a dead proxy\'s until they are dropped', async () => {
		const schedule = createVirtualSchedule();
		const server = createPooledServer(schedule, 3, 2);
		const results: string[] = [];
		const connect = async (proxy: number) => {
			try {
				await server.getEndpoint(proxy).connect(1000);
				results.push(`${proxy} open`);
			} catch {
				results.push(`${proxy} refused`);
			}
		};

		void connect(0);
		void connect(0);
		void connect(1);
		await schedule.runUntil(100);
		server.dropConnections(0);
		void connect(1);
		await schedule.runUntil(200);
		expect(results).to.deep.equal(['0 open', '0 open', '1 refused', '1 open']);
		expect(server.figures).to.deep.equal({opened: 3, refused: 1, maxOpen: 2});
	});
});

describe('pooling scenario', () => {
	it('yields the same results for the same seed', async () => {
		const run = async () => runPoolingScenario({seed: 1, sharing: {name: '2 owners', sharers: 2}, getLoad: (entry, at) => entry === 0 && at < 2000 ? 0.5 : 0});
		const [first, second] = [await run(), await run()];
		expect(first).to.deep.equal(second);
		expect(first.requests.filter(({done}) => done).length).to.be.above(100);
	});
});
