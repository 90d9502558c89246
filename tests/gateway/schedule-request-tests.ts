import {expect} from 'chai';
import type {LinkRequest} from '../../src/gateway/acquire-link.js';
import type {GatewayParts} from '../../src/gateway/gateway-parts.js';
import {getWorkspaceWeight, scheduleRequest} from '../../src/gateway/schedule-request.js';
import type {EndpointPool} from '../../src/links/endpoint-pool.js';
import {createServiceTime} from '../../src/scheduling/service-time.js';

const NOW = 5000;

/** Schedules a request that arrived 30 ms ago on a route with a latency target, where statements take 20 ms and transactions 150 ms. */
function schedule(targetLatencyMs: number, single: boolean, isInForce = true) {
	const operationTimes = createServiceTime<string>(50);
	operationTimes.observe('booking', 150, true);
	const parts = {
		features: isInForce ? {scheduling: {}} : {}, elapsedClock: {elapsed: () => 900}, operationTimes,
	} as unknown as GatewayParts;
	const req = {
		route: {name: 'booking', targetLatencyMs}, workspace: {priority: 1}, arrivedAt: 870, single, trace: {}, isWanted: () => true,
	} as unknown as LinkRequest;
	const {startBy, weight} = scheduleRequest(parts, req, {getLoad: () => ({serviceMs: 20})} as unknown as EndpointPool, NOW);
	return {startInMs: startBy === undefined ? undefined : startBy - NOW, weight};
}

describe('what a pool is told of a request', () => {
	const doTest = (title: string, scheduled: ReturnType<typeof schedule>, startInMs: number | undefined, weight: number | undefined = 0.5) => {
		it(title, () => {
			expect(scheduled).to.deep.equal({startInMs, weight});
		});
	};

	doTest('is the target less the usual time of a statement', schedule(202, true), 202 - 30 - 20);
	doTest('is the target less the usual time of a whole transaction', schedule(202, false), 202 - 30 - 150);
	doTest('leaves time to wait where operations usually take longer than the target', schedule(100, false), 10 - 30);
	doTest('is no latest start where the route has no target', schedule(0, true), undefined);

	/** Another deployment runs as before: neither its pools nor its messages between hosts know of targets. */
	it('is nothing where scheduling is not in force', () => {
		expect(schedule(202, true, false)).to.deep.equal({startInMs: undefined, weight: undefined});
	});

	it('weighs workspaces by their priority', () => {
		expect([0, 1, 3].map(priority => getWorkspaceWeight(priority))).to.deep.equal([1, 0.5, 0.25]);
	});
});
