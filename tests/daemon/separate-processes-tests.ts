import {expect} from 'chai';
import {startLocalSystem, type LocalSystem} from '../../src/stand-ins/processes/local-system.js';
import type {CallerResponse} from '../../src/callers/caller-response.js';

const ZONES = ['hall-a', 'hall-b', 'hall-c'];

async function sendRequest(system: LocalSystem, proxy: string, body: Record<string, unknown>, session: string): Promise<CallerResponse> {
	const res = await fetch(`${system.getProxyOrThrow(proxy).callerUrl}/v1/groups/sleep-logs/requests`, {
		method: 'POST',
		headers: {'content-type': 'application/json', 'aldercroft-session': session},
		body: JSON.stringify(body),
	});
	return await res.json() as CallerResponse;
}

describe('separate processes', () => {
	it('serve a write at one daemon and reads of it at two others, and exit with 0', async () => {
		const system = await startLocalSystem({
			proxies: 3,
			availabilityZones: ZONES,
			groups: [{
				name: 'sleep-logs', availabilityZones: ZONES, connections: 20, slots: 3,
			}],
			flags: ['--leave-notice-ms', '0'],
		});
		try {
			const written = await sendRequest(system, 'entry-1', {
				kind: 'write', statement: 'INSERT INTO nights (member, score) VALUES ($1, $2)', values: ['m-17', 41],
			}, 'new');
			expect(written).to.include({outcome: 'done', servedBy: 'sleep-logs-1', term: 1});

			const readRequest = {kind: 'read', statement: 'SELECT score FROM nights WHERE member = $1', values: ['m-17']};
			for (const proxy of ['entry-2', 'entry-3']) {
				const read = await sendRequest(system, proxy, readRequest, written.session!);
				expect(read.rows).to.deep.equal([{score: 41}]);
				expect(read.position).to.be.at.least(written.position!);
				expect(read.ageMs).to.satisfy(Number.isInteger);
			}

			const exitCodes = await Promise.all(system.proxies.map(async proxy => proxy.process.stop()));
			expect(exitCodes).to.deep.equal([0, 0, 0]);
		} finally {
			await system.stop();
		}
	});
});
