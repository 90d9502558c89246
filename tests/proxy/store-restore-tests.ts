import {expect} from 'chai';
import {LeadershipPhase, type LeadershipRecord} from '../../src/leadership/leadership-record.js';
import {RecordKind} from '../../src/mirror/metadata-store.js';
import type {Routing} from '../../src/routes/routing.js';
import type {SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import type {StoreBackup} from '../../src/stand-ins/metadata-store/in-memory-metadata-store.js';
import type {PlainServer} from '../../src/stand-ins/plain-group/plain-server.js';
import type {Workspace} from '../../src/workspaces/workspace.js';
import {createProxyBench, type ProxyBench} from './proxy-bench.js';

const OUTAGE_MS = 1000;

/** Maximum time from the acknowledgement of a configuration until it is in force, in milliseconds. */
const APPLY_MS = 3000;

function getRouting(proxy: SimulatedProxy): Routing {
	return proxy.kernel.getOrThrow('storeMirror').state.routing!;
}

/** Changes the configuration `times` times, each change in force before the next; returns the last one. */
async function changeRouting({clock, system, proxies}: ProxyBench, times: number): Promise<Routing> {
	for (let i = 0; i < times; i++) {
		const routing = getRouting(proxies[0]!);
		system.store.setRouting({...routing, version: routing.version + 1});
		await clock.advance(2000);
	}

	return getRouting(proxies[0]!);
}

/** Makes the store silent for a while and then restores it from a backup. */
async function restoreFrom({clock, system}: ProxyBench, copy: StoreBackup, rewriteMs?: number, outageMs = OUTAGE_MS) {
	system.store.setFaults(undefined, {silent: true});
	await clock.advance(outageMs);
	system.store.heal();
	system.store.restore(copy, rewriteMs);
}

/** Crashes the primary, waits until it is replaced, and restarts it as a replica; returns it. */
async function losePrimary(bench: ProxyBench): Promise<PlainServer> {
	const former = bench.getPrimary();
	bench.group.crash(former);
	await writeUntilDone(bench, bench.proxies[0]!);
	bench.group.restart(former);
	await bench.clock.advance(3000);
	return former;
}

async function writeUntilDone(bench: ProxyBench, proxy: SimulatedProxy) {
	const caller = await bench.open(proxy, 'sync');
	const until = bench.clock.now() + 30_000;
	while (bench.clock.now() < until) {
		if (await bench.ask(caller, 'WRITE gap 1') === 'done idle') {
			return;
		}

		await bench.clock.advance(20);
	}

	expect.fail('no write was acknowledged within 30 s');
}

/** Writes at each host in turn for `ms` milliseconds; returns the answers to writes that were not acknowledged. */
async function writeFor(bench: ProxyBench, ms: number): Promise<readonly string[]> {
	const until = bench.clock.now() + ms;
	const refused: string[] = [];
	const callers = [];
	for (const proxy of bench.proxies) {
		callers.push(await bench.open(proxy, 'sync'));
	}

	for (let i = 0; bench.clock.now() < until; i++) {
		const answer = await bench.ask(callers[i % callers.length]!, `WRITE calm ${i}`);
		if (answer !== 'done idle') {
			refused.push(answer);
		}

		await bench.clock.advance(20);
	}

	return refused;
}

function getStoredPhase({system}: ProxyBench): LeadershipPhase | undefined {
	return (system.store.getRecord(RecordKind.Leadership, 'group.nights')?.value as LeadershipRecord | undefined)?.phase;
}

async function advanceUntil({clock}: ProxyBench, isReached: () => boolean) {
	const until = clock.now() + 30_000;
	while (!isReached() && clock.now() < until) {
		await clock.advance(5);
	}
}

/** Counts the moments at which a promotion has been ordered and a host still holds a lease on the former primary. */
async function countBoth({clock, system}: ProxyBench, proxy: SimulatedProxy, former: PlainServer): Promise<number> {
	let both = 0;
	for (let ms = 0; ms < 12_000; ms += 10) {
		await clock.advance(10);
		const usesFormer = proxy.kernel.getOrThrow('primaryLeases').get('nights', proxy.clock.elapsed())?.primaryId === former.id;
		both += system.orders.length > 0 && usesFormer ? 1 : 0;
	}

	return both;
}

/** Returns the primaries on which hosts hold a lease. */
function getUsedPrimaries({proxies}: ProxyBench): ReadonlyArray<string | undefined> {
	return [...new Set(proxies.map(({kernel, clock}) => kernel.getOrThrow('primaryLeases').get('nights', clock.elapsed())?.primaryId))];
}

describe('a store that is restored from an older backup', () => {
	function doConfigurationTest(hosts: number, lost: number) {
		/** Guards against hosts that take the lower revision of the restored store for proof that their mirror is complete. */
		it(`has a new configuration in force at each of ${hosts} hosts where ${lost} changes were lost`, async () => {
			const bench = await createProxyBench({proxies: hosts, maxConnections: 100});
			const copy = bench.system.store.takeBackup();
			const held = await changeRouting(bench, lost);
			await restoreFrom(bench, copy);
			await bench.clock.advance(1000);
			bench.system.store.setRouting({...held, version: held.version + 1});
			await bench.clock.advance(APPLY_MS);
			expect([...new Set(bench.proxies.map(proxy => getRouting(proxy).version))]).to.deep.equal([held.version + 1]);
			bench.system.stop();
		});
	}

	doConfigurationTest(3, 3);
	doConfigurationTest(9, 30);

	/** Guards against a restored record that names a primary replaced since the backup: hosts would use that primary, or none. */
	it('leaves the primary in use that was promoted after the backup', async () => {
		const bench = await createProxyBench({proxies: 9, maxConnections: 100, promoteMs: 600});
		const copy = bench.system.store.takeBackup();
		const former = await losePrimary(bench);
		const promoted = bench.getPrimary().id;
		await restoreFrom(bench, copy);
		const refused = await writeFor(bench, 6000);
		expect([refused, bench.getPrimary().id, bench.system.orders.length]).to.deep.equal([[], promoted, 1]);
		expect(getUsedPrimaries(bench)).to.deep.equal([promoted]);
		expect(bench.ran.filter(line => line.startsWith(`${former.id} commit`))).to.deep.equal([]);
		bench.system.stop();
	});

	/** Guards against hosts that know only the restored store: no host is left that knows of the replacement, and the former primary still reports that role. */
	it('never has the primary of an old record used where all hosts are new', async () => {
		const bench = await createProxyBench({proxies: 3, promoteMs: 600});
		const former = bench.getPrimary();
		const copy = bench.system.store.takeBackup();
		former.cutFromGroup = true;
		for (const proxy of bench.proxies) {
			proxy.cutFrom.add(former.id);
		}

		await writeUntilDone(bench, bench.proxies[0]!);
		const promoted = bench.getPrimary();
		for (const proxy of bench.proxies) {
			bench.system.kill(proxy);
		}

		await restoreFrom(bench, copy);
		const started = [];
		for (const name of ['entry-1', 'entry-2', 'entry-3']) {
			started.push(await bench.clock.runUntil(bench.system.startProxy(name)));
		}

		await writeUntilDone(bench, started[0]!);
		expect([promoted.id === former.id, former.role, bench.getPrimary().id === former.id]).to.deep.equal([false, 'replica', false]);
		expect(bench.ran.filter(line => line.startsWith(`${former.id} commit`))).to.deep.equal([]);
		bench.system.stop();
	});

	it('has its leadership records rewritten in its new generation', async () => {
		const bench = await createProxyBench({proxies: 3});
		await restoreFrom(bench, bench.system.store.takeBackup());
		await bench.clock.advance(2000);
		const {value} = bench.system.store.getRecord(RecordKind.Leadership, 'group.nights')!;
		expect(value).to.include({generation: 1, epoch: 1, primaryId: 'nights-1'});
		bench.system.stop();
	});

	/** Guards against a promotion under a record that the store has lost: a host that was not reached rewrites the record of the old primary and goes on using it. */
	it('has no primary promoted by a replacement whose record was lost', async () => {
		const bench = await createProxyBench({proxies: 3, promoteMs: 600});
		const [apart, ...others] = bench.proxies as [SimulatedProxy, ...SimulatedProxy[]];
		const former = bench.getPrimary();
		const copy = bench.system.store.takeBackup();
		for (const other of others) {
			other.cutFrom.add(former.id);
			bench.system.network.setFaultsBetween(apart.peerAddress, other.peerAddress, {cut: true});
		}

		// That host cannot remove the fences set by the others either.
		for (const replica of bench.group.servers.filter(server => server !== former)) {
			apart.cutFrom.add(replica.id);
		}

		const caller = await bench.open(others[0]!, 'sync');
		void bench.send(caller, 'WRITE a 1');
		await advanceUntil(bench, () => getStoredPhase(bench) === LeadershipPhase.Changing);
		// Too short for the failover lease to expire.
		await restoreFrom(bench, copy, 0, 50);
		expect([await countBoth(bench, apart, former), bench.group.latestPrimary.id === former.id]).to.deep.equal([0, false]);
		bench.system.stop();
	});

	/** Guards against replicas that never receive the log again: the host that fenced them died, and the store has lost the record of its replacement. */
	it('has the fences of a lost replacement removed from replicas', async () => {
		const bench = await createProxyBench({proxies: 3});
		const copy = bench.system.store.takeBackup();
		const replicas = bench.group.servers.filter(server => server !== bench.getPrimary());
		for (const replica of replicas) {
			replica.fencedTerm = 2;
		}

		await restoreFrom(bench, copy);
		await bench.clock.advance(2000);
		expect(replicas.map(({fencedTerm}) => fencedTerm)).to.deep.equal([0, 0]);
		bench.system.stop();
	});

	/** Guards against a host whose primary lease is not revoked before a promotion: its registration was lost, so the list of hosts lacks it. */
	it('has no primary promoted while a host whose registration was lost uses the former one', async () => {
		const bench = await createProxyBench({proxies: 3, promoteMs: 600});
		const {system, clock} = bench;
		const copy = system.store.takeBackup();
		const lost = await clock.runUntil(system.startProxy('entry-4'));
		await clock.advance(2000);
		const former = bench.getPrimary();
		for (const other of bench.proxies.filter(proxy => proxy !== lost)) {
			system.network.setFaultsBetween(lost.peerAddress, other.peerAddress, {cut: true});
		}

		await restoreFrom(bench, copy);
		system.store.setFaults('entry-4', {silent: true});
		for (const other of bench.proxies.filter(proxy => proxy !== lost)) {
			other.cutFrom.add(former.id);
		}

		const caller = await bench.open(bench.proxies[0]!, 'sync');
		void bench.send(caller, 'WRITE a 1');
		expect([await countBoth(bench, lost, former), bench.group.latestPrimary.id === former.id]).to.deep.equal([0, false]);
		system.stop();
	});

	/** Guards against new work for an endpoint that is leaving: the restored entry lacks that state, and the endpoint rewrites it only later. */
	it('does not make hosts forget that an endpoint is leaving', async () => {
		const bench = await createProxyBench({proxies: 3});
		const copy = bench.system.store.takeBackup();
		bench.group.servers[2]!.leaving = true;
		bench.system.registerEndpoints();
		await bench.clock.advance(2000);
		await restoreFrom(bench, copy, 2000);
		await bench.clock.advance(1500);
		expect(bench.proxies.map(({kernel}) => kernel.getOrThrow('endpointDirectory').get('nights-3')?.entry.leaving)).to.deep.equal([true, true, true]);
		bench.system.stop();
	});

	/** Guards against a revoked key that is accepted again: the restored store confirms the older configuration, until the operator has rewritten the newer one. */
	it('has no revoked key accepted beyond its bound', async () => {
		const workspace: Workspace = {name: 'north', keys: ['north-1', 'north-2'], priority: 0};
		const bench = await createProxyBench({proxies: 3, workspaces: [workspace], revokeWithinMs: 5000});
		const {clock, system} = bench;
		const copy = system.store.takeBackup();
		const routing = getRouting(bench.proxies[0]!);
		const callers = [];
		for (const proxy of bench.proxies) {
			callers.push(await bench.open(proxy, 'sync', undefined, 'north-1'));
		}

		system.store.setFaults(undefined, {silent: true});
		system.store.setRouting({...routing, version: 2, workspaces: new Map([['north', {...workspace, keys: ['north-2']}]])});
		await clock.advance(6000);
		system.store.heal();
		system.store.restore(copy, 1500);
		let ran = 0;
		for (let i = 0; i < 60; i++) {
			const answer = await bench.ask(callers[i % 3]!, `WRITE a ${i}`);
			ran += answer.startsWith('done') ? 1 : 0;
			await clock.advance(50);
		}

		expect(ran).to.equal(0);
		const other = await bench.open(bench.proxies[1]!, 'sync', undefined, 'north-2');
		expect(await bench.ask(other, 'WRITE b 1')).to.equal('done idle');
		system.stop();
	});
});
