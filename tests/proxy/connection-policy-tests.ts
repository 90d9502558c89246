import {expect} from 'chai';
import type {SchedulingSettings} from '../../src/proxy/proxy-features.js';
import type {Workspace} from '../../src/workspaces/workspace.js';
import {createProxyBench} from './proxy-bench.js';

const WORKSPACES = Array.from({length: 30}, (_, i): Workspace => ({name: `w${i}`, keys: [`k${i}`], priority: 0}));

/** An endpoint accepts fewer connections than there are workspaces, each of which sends two reads. */
describe('connections of a proxy to an endpoint', () => {
	function doTest(name: string, scheduling: SchedulingSettings | undefined, isShown: boolean) {
		it(name, async () => {
			const bench = await createProxyBench({
				workspaces: WORKSPACES, proxies: 1, maxConnections: 8, features: {scheduling},
			});
			const answers: string[] = [];
			for (const {keys: [key]} of [...WORKSPACES, ...WORKSPACES]) {
				answers.push(await bench.ask(await bench.open(bench.proxies[0]!, 'sync', undefined, key), 'READ a'));
			}

			expect(answers.filter(answer => answer !== 'done - idle')).to.deep.equal([]);
			const metrics = await bench.proxies[0]!.kernel.getOrThrow('proxyMetrics').render();
			expect(/^aldercroft_connection_openings_total\{.*cause="reopened".*\} [1-9]/mv.test(metrics)).to.equal(isShown);
			expect(metrics.includes('aldercroft_connection_')).to.equal(isShown);
		});
	}

	doTest('are closed by their expected use, and counted by cause, with scheduling', {
		capacity: 1, poolHosts: 3, roomFactor: 1.5, leastShare: 0.1,
	}, true);
	doTest('show no new metrics without scheduling', undefined, false);
});
