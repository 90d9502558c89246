import {expect} from 'chai';
import type {Metrics} from '../../src/metrics/metrics.js';
import {createPromMetrics} from '../../src/metrics/prom-metrics.js';

describe('prom metrics', () => {
	const doTest = (act: (metrics: Metrics) => void, expected: string) => {
		it(expected, async () => {
			const metrics = createPromMetrics();
			act(metrics);
			const page = await metrics.render();
			expect(page.split('\n')).to.include(expected);
		});
	};

	const request = {
		kind: 'write', class: 'deadline', outcome: 'done', seconds: 0.004,
	} as const;
	doTest(m => {
		m.observeRequest(request);
	}, 'aldercroft_requests_total{kind="write",class="deadline",outcome="done"} 1');
	doTest(m => {
		m.observeRequest(request);
	}, 'aldercroft_request_seconds_bucket{le="0.005",kind="write",class="deadline"} 1');
	doTest(m => {
		m.observeRequest({...request, kind: 'commit', class: undefined});
	}, 'aldercroft_requests_total{kind="commit",class="none",outcome="done"} 1');
	doTest(m => {
		m.countRefusal('queue-full');
	}, 'aldercroft_refusals_total{code="queue-full"} 1');
	doTest(m => {
		m.observeQueueWait('interactive', 0.5);
	}, 'aldercroft_queue_wait_seconds_sum{class="interactive"} 0.5');
	doTest(m => {
		m.countRead('replica');
	}, 'aldercroft_reads_total{role="replica"} 1');
	doTest(m => {
		m.countRetry('owner-silent');
	}, 'aldercroft_retries_total{code="owner-silent"} 1');
	doTest(m => {
		m.countDroppedFrame();
	}, 'aldercroft_peer_frames_dropped_total 1');
	doTest(m => {
		m.countPlatformCall('watch', 'silent');
	}, 'aldercroft_platform_calls_total{call="watch",result="silent"} 1');
	doTest(m => {
		m.setPoolConnections('sleep-1', 3, 2);
	}, 'aldercroft_pool_connections{endpoint="sleep-1",state="busy"} 2');
	doTest(m => {
		m.setConfigRevision(42);
	}, 'aldercroft_config_revision 42');
	doTest(m => {
		m.observeFailover('sleep', 2.5);
	}, 'aldercroft_failover_seconds_sum{group="sleep"} 2.5');

	it('is independent of the metrics of another daemon in the same process', async () => {
		createPromMetrics().countDroppedFrame();
		expect(await createPromMetrics().render()).to.include('aldercroft_peer_frames_dropped_total 0');
	});
});
