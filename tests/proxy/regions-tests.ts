import {expect} from 'chai';
import type {SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import {createProxyBench} from './proxy-bench.js';

const REGIONS: ReadonlyMap<string, string> = new Map([['zone-0', 'east'], ['zone-1', 'west'], ['zone-2', 'west']]);

/** Returns the bytes between regions that a proxy has counted, by purpose. */
async function getRegionBytes({kernel}: SimulatedProxy): Promise<ReadonlyMap<string, number>> {
	const text = await kernel.getOrThrow('proxyMetrics').render();
	return new Map([...text.matchAll(/^aldercroft_region_bytes_total{purpose="(?<purpose>[^"]+)"} (?<bytes>\d+)$/gm)].map(({groups}) => [groups!.purpose!, Number(groups!.bytes)]));
}

describe('a proxy that knows regions', () => {
	it('registers its round-trip time to the store, and polls the root from one host of the other region only', async () => {
		const bench = await createProxyBench({proxies: 9, features: {zoneRegions: REGIONS}});
		expect(bench.proxies[0]!.kernel.getOrThrow('storeMirror').state.hosts.map(({storeRttMs}) => storeRttMs)).to.deep.equal(bench.proxies.map(() => 5));
		const before = await Promise.all(bench.proxies.map(async proxy => getRegionBytes(proxy)));
		await bench.clock.advance(5000);
		const after = await Promise.all(bench.proxies.map(async proxy => getRegionBytes(proxy)));
		const polled = bench.proxies.filter((_, i) => (after[i]!.get('mirror-confirm') ?? 0) > (before[i]!.get('mirror-confirm') ?? 0));
		expect(polled.map(({availabilityZone}) => REGIONS.get(availabilityZone))).to.have.members(['east', 'west']);
		bench.system.stop();
	});

	it('counts the bytes of statements to another region, and none of those to its own', async () => {
		const bench = await createProxyBench({proxies: 3, features: {zoneRegions: REGIONS}});
		const [near, far] = [bench.proxies[0]!, bench.proxies[1]!];
		const countStatementBytes = async () => {
			const counted = await Promise.all([near, far].map(async proxy => getRegionBytes(proxy)));
			return counted.map(bytes => bytes.get('statements') ?? 0);
		};

		const before = await countStatementBytes();
		for (const proxy of [near, far]) {
			const caller = await bench.open(proxy, 'sync');
			await bench.ask(caller, 'WRITE some text');
		}

		const after = await countStatementBytes();
		expect(after[0]).to.equal(before[0]);
		expect(after[1]! - before[1]!).to.be.greaterThan(2 * 90);
		bench.system.stop();
	});

	/** The primary is lost while its callers are all in the other region. Among equal logs the first was chosen, and each write crossed between the regions until the next change. */
	it('replaces a lost primary by an endpoint near its callers', async () => {
		for (const [callersZone, expected] of [['zone-0', 'zone-1'], ['zone-2', 'zone-2']] as const) {
			const zoneRegions = new Map([['zone-0', 'east'], ['zone-1', 'east'], ['zone-2', 'west']]);
			const bench = await createProxyBench({proxies: 6, lagMs: 5, features: {zoneRegions}});
			const caller = await bench.open(bench.proxies.find(({availabilityZone}) => availabilityZone === callersZone)!, 'sync');
			for (let i = 0; i < 20; i++) {
				await bench.ask(caller, 'WRITE w');
			}

			await bench.clock.advance(100);
			bench.group.crash(bench.getPrimary());
			bench.system.registerEndpoints();
			await bench.clock.advance(10_000);
			expect(bench.getPrimary().availabilityZone).to.equal(expected);
			bench.system.stop();
		}
	});
});
