import {expect} from 'chai';
import {createEndpointPool} from '../../src/links/create-endpoint-pool.js';
import type {EndpointLink, EndpointStatus} from '../../src/links/endpoint-link.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const STATUS: EndpointStatus = {
	role: 'primary', term: 1, received: {term: 1, position: 3}, fencedTerm: 0, lagMs: 0, busy: 3, connections: 2,
};

/** Sends status requests while a statement on the only connection gets no answer; returns how many connections were opened and which of them got the requests. */
async function sendCommands(waitsForReplicas: boolean) {
	const clock = createVirtualClock();
	const asked: number[] = [];
	let opened = 0;
	const pool = createEndpointPool({
		target: {address: '10.1.0.9:8080', group: 'nights', endpointId: 'i-1'},
		opener: {
			async open() {
				const number = ++opened;
				return {
					pending: number === 1 ? 1 : 0,
					closed: false,
					close: () => undefined,
					onClose: () => undefined,
					async readStatus() {
						asked.push(number);
						return STATUS;
					},
				} as unknown as EndpointLink;
			},
		},
		clock,
		log: createSilentLog(),
		waitsForReplicas: () => waitsForReplicas,
		getLimits: () => ({maxConnections: 8, hosts: 1, isPoolHost: true}),
		getMinPosition: () => undefined,
	});
	await clock.runUntil(pool.acquire({
		priority: 1, until: clock.now() + 500, values: new Map(), single: false,
	}));
	for (let i = 0; i < 3; i++) {
		await clock.runUntil(pool.sendCommand({kind: 'status'}, 250));
	}

	return {opened, asked};
}

describe('commands to an endpoint that owes an answer', () => {
	it('use a connection of their own where that answer may wait for other endpoints: behind it they would wait as long', async () => {
		expect(await sendCommands(true)).to.deep.equal({opened: 2, asked: [2, 2, 2]});
	});

	it('use the open one otherwise', async () => {
		expect(await sendCommands(false)).to.deep.equal({opened: 1, asked: [1, 1, 1]});
	});
});
