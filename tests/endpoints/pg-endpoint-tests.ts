import {expect} from 'chai';
import {isEndpointError} from '../../src/endpoints/endpoint-errors.js';
import type {Endpoints} from '../../src/endpoints/endpoint.js';
import {createPgEndpoints} from '../../src/endpoints/pg-endpoint.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {startPgGroup, type PgGroup} from '../../src/stand-ins/database/pg-group.js';
import {createSystemClock} from '../../src/time/system-clock.js';
import {describeEndpointContract} from '../stand-ins/database/endpoint-contract.js';

const HOST = '127.0.0.1';

describeEndpointContract('over the PostgreSQL protocol', async () => {
	const clock = createSystemClock();
	const {group, stop} = await startPgGroup({
		host: HOST, ports: [0, 0, 0], password: 'secret', clock, random: createSeededRandom(1), serverParameters: {connections: 3},
	});
	const endpoints = createPgEndpoints({
		user: 'aldercroft', password: 'secret', database: 'nights', clock,
	});
	return {
		group, endpoints, settle: async promise => promise, stop,
	};
});

describe('connecting over the PostgreSQL protocol', () => {
	const doTest = (title: string, connect: (group: PgGroup, endpoints: Endpoints) => Promise<unknown>, expected: string) => {
		it(title, async () => {
			const clock = createSystemClock();
			const group = await startPgGroup({
				host: HOST, ports: [0], password: 'secret', clock, random: createSeededRandom(1),
			});
			const endpoints = createPgEndpoints({
				user: 'aldercroft', password: title.includes('password') ? 'wrong' : 'secret', database: 'nights', clock,
			});
			const outcome = await connect(group, endpoints).then(() => 'open', (err: unknown) =>
				isEndpointError(err) ? `sent ${err.sent}: ${err.message.split('\n', 1)[0]!.replace(/:\d+$/v, '')}` : String(err));
			await group.stop();
			expect(outcome).to.equal(expected);
		});
	};

	const connect = async ({group}: PgGroup, endpoints: Endpoints) => endpoints.getEndpoint(group.servers[0]!.address).connect(50);

	doTest('opens', connect, 'open');
	doTest('rejects with the server\'s error for a wrong password', connect, 'sent false: error: password authentication failed');
	doTest('rejects where nothing listens', async (group, endpoints) => {
		await group.stop();
		return connect(group, endpoints);
	}, 'sent false: connect ECONNREFUSED 127.0.0.1');
	doTest('times out at a server that accepts a connection and sends nothing', async (group, endpoints) => {
		group.group.servers[0]!.faults.freeze();
		return connect(group, endpoints);
	}, 'sent false: not open within 50 ms');
});
