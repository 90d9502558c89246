import {expect} from 'chai';
import {createPromGatewayMetrics} from '../../src/gateway/prom-gateway-metrics.js';

describe('the metrics of connections to endpoints', () => {
	/** Guards against a label value for each start of a server, which stayed for as long as the process, with the last state of an endpoint that had gone. */
	it('are of the endpoints that are there', async () => {
		const metrics = createPromGatewayMetrics();
		const pool = {open: 4, inUse: 1, waiting: 0};
		metrics.setPools([{endpoint: 'i-7 1790000000000', ...pool}, {endpoint: 'i-8', ...pool}]);
		metrics.setPools([{endpoint: 'i-7 1790000009000', ...pool}, {endpoint: 'i-8', ...pool}]);
		const text = await metrics.render();
		const lines = text.split('\n').filter(line => line.startsWith('aldercroft_endpoint_links{'));
		expect(lines.filter(line => line.includes('state="open"'))).to.deep.equal([
			'aldercroft_endpoint_links{endpoint="i-7 1790000009000",state="open"} 4',
			'aldercroft_endpoint_links{endpoint="i-8",state="open"} 4',
		]);
		expect(lines).to.have.lengthOf(6);
	});
});
