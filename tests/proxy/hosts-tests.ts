import {expect} from 'chai';
import type {HostRecord} from '../../src/leadership/leadership-record.js';
import {RecordKind} from '../../src/mirror/metadata-store.js';
import {createProxyBench, type ProxyBench} from './proxy-bench.js';

function isMarked({system}: ProxyBench, name: string): boolean {
	return (system.store.getRecord(RecordKind.Hosts, name)!.value as HostRecord).gone === true;
}

describe('the list of hosts', () => {
	/**
	 * A proxy is cut off from the others and from the store for 8 s. Once reconnected it believes that it is the one that reads the store for
	 * all, and has received nothing from the others for seconds. They are alive: if they were marked, each replacement would wait for their
	 * primary leases to expire.
	 */
	it('does not mark proxies from which a proxy received nothing while it was cut off itself', async () => {
		const bench = await createProxyBench();
		const [alone, ...others] = bench.proxies;
		for (const other of others) {
			bench.system.network.setFaultsBetween(alone!.peerAddress, other.peerAddress, {cut: true});
		}

		bench.system.store.setFaults(alone!.name, {silent: true});
		await bench.clock.advance(8000);
		bench.system.network.heal();
		bench.system.store.heal();
		const marked = new Set<string>();
		for (let waitedMs = 0; waitedMs < 4000; waitedMs += 10) {
			await bench.clock.advance(10);
			for (const {name} of others) {
				if (isMarked(bench, name)) {
					marked.add(name);
				}
			}
		}

		expect([...marked]).to.deep.equal([]);
	});

	/**
	 * Two of five proxies are cut off from the other three, and all reach the store. The two receive heartbeats from too few proxies to mark the
	 * others as unresponsive. If marked, those would lose their primary leases and, since they would no longer count, the primary that they use.
	 */
	it('does not mark the majority of a partition', async () => {
		const bench = await createProxyBench({proxies: 5});
		bench.splitOff(2);

		const caller = await bench.open(bench.proxies[0]!, 'sync');
		void bench.send(caller, 'WRITE a 1');
		for (let waitedMs = 0; waitedMs < 7500; waitedMs += 10) {
			await bench.clock.advance(10);
			expect(bench.proxies.slice(2).filter(({name}) => isMarked(bench, name)).map(({name}) => name)).to.deep.equal([]);
		}

		expect(bench.group.latestPrimary.id).to.equal('nights-1');
	});

	/**
	 * Every proxy was marked though it is alive, as by a host that was cut off. Each registers again, and the primary crashes just then. The
	 * proxies were known to all hosts the whole time, so callers must not wait for the time in which a new proxy replaces nothing.
	 */
	it('lets proxies that were marked by mistake replace a primary at once', async () => {
		const bench = await createProxyBench();
		await bench.clock.advance(10_000);
		const client = bench.system.store.getClient('a host that was cut off');
		for (const {name} of bench.proxies) {
			const {version, value} = bench.system.store.getRecord(RecordKind.Hosts, name)!;
			await bench.clock.runUntil(client.putRecord(RecordKind.Hosts, {name, version, value: {...value as HostRecord, gone: true}}, 900));
		}

		await bench.clock.advance(1500);
		expect(bench.proxies.map(({name}) => isMarked(bench, name))).to.deep.equal([false, false, false]);
		bench.group.crash(bench.getPrimary());
		const crashedAt = bench.clock.now();
		while (bench.group.latestPrimary.id === 'nights-1' && bench.clock.now() < crashedAt + 20_000) {
			await bench.clock.advance(20);
		}

		// Detecting the silence takes 700 ms, and a promotion takes 1,000.
		expect(bench.clock.now() - crashedAt).to.be.lessThan(2300);
	});

	/** A proxy registers that no host knew before. Hosts that go on without the store may not know it for a while, so it replaces nothing yet. */
	it('lets a new proxy replace nothing for 9 s', async () => {
		const bench = await createProxyBench({proxies: 1});
		bench.system.kill(bench.proxies[0]!);
		await bench.clock.runUntil(bench.system.startProxy('a new host'));
		bench.group.crash(bench.getPrimary());
		await bench.clock.advance(6000);
		expect(bench.group.latestPrimary.id).to.equal('nights-1');
	});
});
