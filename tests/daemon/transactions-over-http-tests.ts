import {expect} from 'chai';
import type {CallerResponse} from '../../src/callers/caller-response.js';
import {startLocalSystem, type LocalSystem} from '../../src/stand-ins/processes/local-system.js';

const ZONES = ['hall-a', 'hall-b', 'hall-c'];
const INSERT = 'INSERT INTO nights (member, score) VALUES ($1, $2)';

describe('transactions over HTTP at separate processes', () => {
	let system: LocalSystem;

	before(async () => {
		system = await startLocalSystem({
			proxies: 3,
			availabilityZones: ZONES,
			groups: [{
				name: 'sleep-logs', availabilityZones: ZONES, connections: 20, slots: 3,
			}],
			flags: ['--leave-notice-ms', '0'],
		});
	});

	after(async () => {
		await system.stop();
	});

	const post = async (proxy: string, path: string, body?: Record<string, unknown>, session = 'new'): Promise<CallerResponse> => {
		const res = await fetch(`${system.getProxyOrThrow(proxy).callerUrl}${path}`, {
			method: 'POST',
			headers: {'aldercroft-session': session, ...body && {'content-type': 'application/json'}},
			body: body && JSON.stringify(body),
		});
		return await res.json() as CallerResponse;
	};

	const waitUntilLeaving = async (proxy: string) => {
		for (let status = 200; status === 200;) {
			({status} = await fetch(`${system.getProxyOrThrow(proxy).operatorUrl}/ready`));
		}
	};

	const begin = async (proxy: string) => {
		const begun = await post(proxy, '/v1/groups/sleep-logs/transactions');
		expect(begun.outcome).to.equal('done');
		return `/v1/transactions/${begun.requestId}`;
	};

	const insert = async (proxy: string, transaction: string, member: string, score: number) => {
		const answer = await post(proxy, `${transaction}/requests`, {kind: 'write', statement: INSERT, values: [member, score]});
		expect(answer.outcome).to.equal('done');
	};

	const readScores = async (proxy: string, member: string, session?: string) => {
		const readRequest = {
			kind: 'read', statement: 'SELECT score FROM nights WHERE member = $1', values: [member], latest: session === undefined,
		};
		const {rows} = await post(proxy, '/v1/groups/sleep-logs/requests', readRequest, session);
		return rows?.map(({score}) => score);
	};

	const doTest = (beginAt: string, runAt: string, endAt: string) => {
		it(`begins at ${beginAt}, continues at ${runAt} and is committed at ${endAt}; the session then sees it at every proxy`, async () => {
			const member = `m-${beginAt}`;
			const transaction = await begin(beginAt);
			await insert(beginAt, transaction, member, 41);
			await insert(runAt, transaction, member, 43);
			const committed = await post(endAt, `${transaction}/commit`);
			expect(committed.outcome).to.equal('done');
			for (const {host} of system.proxies) {
				expect(await readScores(host.name, member, committed.session)).to.deep.equal([41, 43]);
			}
		});
	};

	doTest('entry-1', 'entry-2', 'entry-3');
	doTest('entry-2', 'entry-3', 'entry-1');
	doTest('entry-3', 'entry-1', 'entry-2');

	it('leaves no rows if it is rolled back at another proxy, and cannot be committed afterwards', async () => {
		const transaction = await begin('entry-1');
		await insert('entry-2', transaction, 'm-17', 41);
		const rolledBack = await post('entry-3', `${transaction}/rollback`);
		expect(rolledBack.outcome).to.equal('done');
		expect(await readScores('entry-1', 'm-17')).to.deep.equal([]);
		const late = await post('entry-2', `${transaction}/commit`);
		expect([late.outcome, late.refusal?.code]).to.deep.equal(['not-run', 'resolved']);
	});

	// A host stops while a caller's transaction is open at it. The stop waits for the commit, which arrives through another proxy.
	it('can be committed before the daemon that holds it stops', async () => {
		const transaction = await begin('entry-1');
		const holder = transaction.split('.').at(-1)!;
		const other = system.proxies.map(({host}) => host.name).find(name => name !== holder)!;
		await insert(other, transaction, 'm-18', 41);
		const stopped = system.getProxyOrThrow(holder).process.stop();
		await waitUntilLeaving(holder);
		for (let reads = 0; reads < 20; reads++) {
			expect(await readScores(other, 'm-18')).to.deep.equal([]);
		}

		await insert(other, transaction, 'm-18', 43);
		const committed = await post(other, `${transaction}/commit`);
		expect(committed.outcome).to.equal('done');
		expect(await stopped).to.equal(0);
		expect(await readScores(other, 'm-18', committed.session)).to.deep.equal([41, 43]);
	});
});
