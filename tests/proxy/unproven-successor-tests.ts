import {expect} from 'chai';
import {AnswerCode} from '../../src/statements/statement-answer.js';
import type {ScriptedAnswer} from '../../src/stand-ins/proxies/scripted-caller.js';
import type {PlainServer} from '../../src/stand-ins/plain-group/plain-server.js';
import {createProxyBench, type ProxyBench} from './proxy-bench.js';

/** Writes through the first proxy and returns the ids of the writes that were acknowledged. */
async function write(bench: ProxyBench, count: number): Promise<readonly string[]> {
	const caller = await bench.open(bench.proxies.findLast(({name}) => name === 'entry-1')!, 'sync');
	const acknowledged: string[] = [];
	for (let i = 0; i < count; i++) {
		const id = `w${bench.ran.length}-${i}`;
		if (await bench.ask(caller, `WRITE a ${id}`, id) === 'done idle') {
			acknowledged.push(id);
		}
	}

	caller.leave();
	return acknowledged;
}

const getIds = ({log}: PlainServer) => log.flatMap(({commit}) => commit.writes.map(({statementId}) => statementId));

function setCut({system}: ProxyBench, server: PlainServer, isCut: boolean) {
	for (const {cutFrom} of system.proxies) {
		if (isCut) {
			cutFrom.add(server.id);
		} else {
			cutFrom.delete(server.id);
		}
	}
}

/** Creates a group whose last replica lacks acknowledged commits; returns all that were acknowledged. */
async function createLaggingReplica(options: Parameters<typeof createProxyBench>[0] = {}) {
	const bench = await createProxyBench({syncReplicas: 1, ...options});
	const [primary, confirming, lagging] = bench.group.servers as readonly [PlainServer, PlainServer, PlainServer];
	const first = await write(bench, 3);
	await bench.clock.advance(200);
	lagging.deaf = true;
	const acknowledged = [...first, ...await write(bench, 5)];
	expect(acknowledged).to.have.lengthOf(8);
	return {
		bench, primary, confirming, lagging, acknowledged,
	};
}

const getPromoted = ({system}: ProxyBench) => system.orders.map(({endpointId}) => endpointId);

describe('a lost primary whose commits wait for a replica', () => {
	it('leaves the lead to nobody while the only replica that answers lacks acknowledged commits', async () => {
		const {bench, primary, confirming, lagging, acknowledged} = await createLaggingReplica();
		setCut(bench, confirming, true);
		await bench.clock.advance(500);
		bench.group.crash(primary);
		await bench.clock.advance(15_000);
		expect(getPromoted(bench)).to.deep.equal([]);

		setCut(bench, confirming, false);
		await bench.clock.advance(5000);
		expect(bench.getPrimary()).to.equal(confirming);
		expect(getIds(confirming)).to.include.members([...acknowledged]);
		lagging.deaf = false;
		expect(await write(bench, 1)).to.have.lengthOf(1);
	});

	it('is not taken for lost while its commits wait because the replicas receive nothing', async () => {
		const bench = await createProxyBench({syncReplicas: 1, slots: 3});
		const [, left, right] = bench.group.servers as readonly [PlainServer, PlainServer, PlainServer];
		await write(bench, 2);
		left.deaf = true;
		right.deaf = true;
		const callers = await Promise.all(Array.from({length: 6}, async (_, i) => bench.open(bench.proxies[i % 3]!, 'sync')));
		const answers = callers.map(async (caller, i) => bench.send(caller, `WRITE a ${i}`, `waits${i}`));
		await bench.clock.advance(5000);
		expect(getPromoted(bench)).to.deep.equal([]);

		right.deaf = false;
		await bench.clock.advance(100);
		expect(await write(bench, 1)).to.have.lengthOf(1);
		expect(getPromoted(bench)).to.deep.equal([]);
		await bench.clock.runUntil(Promise.all(answers));
	});

	it('refuses writes and transactions at once and names who is awaited', async () => {
		const {bench, primary, confirming} = await createLaggingReplica();
		setCut(bench, confirming, true);
		bench.group.crash(primary);
		await bench.clock.advance(4000);
		for (const proxy of bench.proxies) {
			const caller = await bench.open(proxy, 'sync');
			const sentAt = bench.clock.now();
			for (const texts of [['WRITE a 1'], ['READ a'], ['BEGIN', 'WRITE a 1']]) {
				const answers: ScriptedAnswer[] = [];
				for (const text of texts) {
					answers.push((await bench.clock.runUntil(bench.send(caller, text)))!);
				}

				const {code, text: reason} = answers.at(-1)!.end as {readonly code: string; readonly text: string};
				expect(code).to.equal(AnswerCode.Overloaded);
				expect(reason).to.match(/^retry-after-ms=1000 no server that responds is known to hold every acknowledged commit; waiting for nights-1 or nights-2; /v);
			}

			expect(bench.clock.now() - sentAt).to.be.lessThan(20);
			caller.leave();
		}
	});

	it('is followed at once by a replica that holds all that any host acknowledged, while the other replica is cut off', async () => {
		const bench = await createProxyBench({syncReplicas: 1});
		const [primary, left, right] = bench.group.servers as readonly [PlainServer, PlainServer, PlainServer];
		const acknowledged = await write(bench, 5);
		setCut(bench, left, true);
		await bench.clock.advance(300);
		bench.group.crash(primary);
		const crashedAt = bench.clock.now();
		while (bench.getPrimary() === primary && bench.clock.now() < crashedAt + 10_000) {
			await bench.clock.advance(10);
		}

		expect(bench.getPrimary()).to.equal(right);
		expect(bench.clock.now() - crashedAt).to.be.lessThan(2500);
		expect(getIds(right)).to.include.members([...acknowledged]);
	});

	it('leaves the lead to nobody after all hosts were started anew while the one that holds the commits is not registered', async () => {
		const {bench, primary, confirming, acknowledged} = await createLaggingReplica();
		bench.group.crash(confirming);
		await bench.clock.advance(100);
		bench.group.crash(primary);
		for (const proxy of bench.proxies) {
			bench.system.kill(proxy);
		}

		bench.system.registerEndpoints();
		for (const name of ['entry-1', 'entry-2', 'entry-3']) {
			await bench.clock.runUntil(bench.system.startProxy(name));
		}

		await bench.clock.advance(30_000);
		expect(getPromoted(bench)).to.deep.equal([]);
		bench.group.restart(confirming);
		bench.system.registerEndpoints();
		await bench.clock.advance(20_000);
		expect(bench.getPrimary()).to.equal(confirming);
		expect(getIds(confirming)).to.include.members([...acknowledged]);
	});

	it('waits for the primary where the replica that confirmed the commits has started again without them', async () => {
		const {bench, primary, confirming, lagging, acknowledged} = await createLaggingReplica();
		primary.cutFromGroup = true;
		bench.group.restartEmpty(confirming);
		bench.system.registerEndpoints();
		await bench.clock.advance(50);
		bench.group.crash(primary);
		await bench.clock.advance(10_000);
		expect(getPromoted(bench)).to.deep.equal([]);
		primary.cutFromGroup = false;
		lagging.deaf = false;
		bench.group.restart(primary);
		bench.system.registerEndpoints();
		await bench.clock.advance(10_000);
		expect(getIds(bench.getPrimary())).to.include.members([...acknowledged]);
		expect(await write(bench, 1)).to.have.lengthOf(1);
	});

	it('is followed by a replica although another one was lost for good earlier', async () => {
		const bench = await createProxyBench({syncReplicas: 1});
		const [primary, left, right] = bench.group.servers as readonly [PlainServer, PlainServer, PlainServer];
		bench.group.crash(left);
		bench.system.registerEndpoints();
		const acknowledged = await write(bench, 5);
		await bench.clock.advance(8000);
		bench.group.crash(primary);
		bench.system.kill(bench.proxies[2]!);
		await bench.clock.advance(10_000);
		expect(bench.getPrimary()).to.equal(right);
		expect(getIds(right)).to.include.members([...acknowledged]);
	});

	it('is followed by the best replica that responds once the operator no longer asks for replicas', async () => {
		const {bench, primary, lagging} = await createLaggingReplica();
		bench.group.crash(bench.group.servers[1]!);
		bench.group.crash(primary);
		await bench.clock.advance(6000);
		expect(getPromoted(bench)).to.deep.equal([]);
		const routing = bench.proxies[0]!.kernel.getOrThrow('storeMirror').state.routing!;
		bench.system.store.setRouting({...routing, version: 2, groups: new Map([['nights', {name: 'nights', maxConnections: 22}]])});
		await bench.clock.advance(6000);
		expect(bench.getPrimary()).to.equal(lagging);
	});

	it('keeps the lead while it is leaving and the only replica that responds lacks its last commits', async () => {
		const {bench, primary, confirming} = await createLaggingReplica();
		setCut(bench, confirming, true);
		primary.leaving = true;
		bench.system.registerEndpoints();
		await bench.clock.advance(4000);
		expect(bench.getPrimary()).to.equal(primary);
		expect(await write(bench, 1)).to.have.lengthOf(1);
		setCut(bench, confirming, false);
		await bench.clock.advance(4000);
		expect(bench.getPrimary()).to.equal(confirming);
	});
});
