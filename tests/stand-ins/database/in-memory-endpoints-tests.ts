import {createSeededRandom} from '../../../src/random/seeded-random.js';
import {createDatabaseGroup} from '../../../src/stand-ins/database/database-group.js';
import {createInMemoryEndpoints} from '../../../src/stand-ins/database/in-memory-endpoints.js';
import {createVirtualClock} from '../../../src/stand-ins/time/virtual-clock.js';
import {describeEndpointContract} from './endpoint-contract.js';

describeEndpointContract('in memory', async () => {
	const clock = createVirtualClock();
	const group = createDatabaseGroup({
		addresses: ['10.0.0.1:5432', '10.0.0.2:5432', '10.0.0.3:5432'], clock, random: createSeededRandom(1), serverParameters: {connections: 3},
	});
	const endpoints = createInMemoryEndpoints(group.servers, {clock, latencyMs: 1});
	return {
		group,
		endpoints,
		settle: async promise => clock.runUntil(promise),
		async stop() {
			group.stop();
		},
	};
});
