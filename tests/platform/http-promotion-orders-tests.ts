import {once} from 'node:events';
import {createServer, type IncomingHttpHeaders, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {createHttpPromotionOrders} from '../../src/platform/http-promotion-orders.js';
import {createSystemClock} from '../../src/time/system-clock.js';

describe('HTTP promotion orders', () => {
	let server: Server;
	let received: IncomingHttpHeaders = {};
	let address = '';

	before(async () => {
		server = createServer((req, res) => {
			received = req.headers;
			res.writeHead(200).end();
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	});

	after(() => {
		server.closeAllConnections();
		server.close();
	});

	/** Guards against a host whose name cannot stand in a header, which threw at each order, so that its groups got no primary. */
	function doTest(holder: string, expected: string) {
		it(`name the holder ${JSON.stringify(holder)}`, async () => {
			const orders = createHttpPromotionOrders({address, clock: createSystemClock(), onCall: () => undefined});
			const order = {
				group: 'nights', endpointId: 'i-7 1790000000000', holder, token: 4,
			};
			expect(await orders.promote(order, 60_000)).to.equal('accepted');
			expect([received['x-aldercroft-lease-holder'], received['x-aldercroft-fencing-token']]).to.deep.equal([expected, '4']);
		});
	}

	doTest('front-1', 'front-1');
	doTest('\u010Delo-1', '%C4%8Delo-1');
	doTest('front\u00001', 'front%001');
});
