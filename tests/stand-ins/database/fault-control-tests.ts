import {expect} from 'chai';
import {createSeededRandom} from '../../../src/random/seeded-random.js';
import {createDatabaseGroup} from '../../../src/stand-ins/database/database-group.js';
import {createFaultControl} from '../../../src/stand-ins/database/fault-control.js';
import {createVirtualClock} from '../../../src/stand-ins/time/virtual-clock.js';

type Server = {
	killed: boolean; frozen: boolean; answerDelayMs: number; status: {leaving: boolean; role: string};
};

describe('fault control', () => {
	const describeServer = ({killed, frozen, answerDelayMs, status}: Server) =>
		[status.role, killed && 'killed', frozen && 'frozen', answerDelayMs > 0 && `late ${answerDelayMs}`, status.leaving && 'leaving'].filter(Boolean).join(' ');

	const doTest = (commands: ReadonlyArray<Record<string, unknown>>, expected: string) => {
		it(`${JSON.stringify(commands)} -> ${expected}`, async () => {
			const group = createDatabaseGroup({addresses: ['a:1', 'b:1'], clock: createVirtualClock(), random: createSeededRandom(1)});
			const control = createFaultControl(group);
			const codes = [];
			for (const payload of commands) {
				const res = await control.inject({method: 'POST', url: '/faults', payload});
				codes.push(res.statusCode);
			}

			const res = await control.inject({url: '/faults'});
			const servers = res.json<Server[]>().map(server => describeServer(server));
			expect(`${codes.join(' ')}: ${servers.join(', ')}`).to.equal(expected);
			group.stop();
		});
	};

	doTest([], ': primary, replica');
	doTest([{server: 0, fault: 'kill'}], '200: primary killed, replica');
	doTest([{server: 0, fault: 'kill'}, {server: 0, fault: 'restart'}], '200 200: primary, replica');
	doTest([{server: 1, fault: 'freeze'}, {server: 1, fault: 'delay-answers', ms: 5}], '200 200: primary, replica frozen late 5');
	doTest([{server: 1, fault: 'leaving'}, {server: 0, fault: 'cut', names: ['b:1']}], '200 200: primary, replica leaving');
	doTest([{server: 2, fault: 'kill'}, {server: 0, fault: 'burn'}, {server: 0, fault: 'kill', ms: 3}, {fault: 'kill'}], '400 400 400 400: primary, replica');
});
