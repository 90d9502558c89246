import {createPgEndpoints} from '../../src/endpoints/pg-endpoint.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {startPgGroup} from '../../src/stand-ins/database/pg-group.js';
import {createSystemClock} from '../../src/time/system-clock.js';
import {describeEndpointContract} from '../stand-ins/database/endpoint-contract.js';

const HOST = '127.0.0.1';

describeEndpointContract('over the PostgreSQL protocol', async () => {
	const clock = createSystemClock();
	const {group, stop} = await startPgGroup({
		host: HOST, ports: [0, 0, 0], password: 'secret', clock, random: createSeededRandom(1), sizes: {connections: 3},
	});
	const endpoints = createPgEndpoints({
		user: 'aldercroft', password: 'secret', database: 'nights', clock,
	});
	return {
		group, endpoints, settle: async promise => promise, stop,
	};
});
