import {expect} from 'chai';
import type {Routing} from '../../src/routes/routing.js';
import type {SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import type {StoreCopy} from '../../src/stand-ins/metadata-store/in-memory-metadata-store.js';
import {createProxyBench, type ProxyBench} from './proxy-bench.js';

const AWAY_MS = 1000;

/** A configuration is to be in force within so long of its acknowledgement. */
const APPLY_MS = 3000;

function getRouting(proxy: SimulatedProxy): Routing {
	return proxy.kernel.getOrThrow('storeMirror').state.routing!;
}

/** The operator changes the configuration some times, each change in force before the next. */
async function changeRouting({clock, system, proxies}: ProxyBench, times: number): Promise<Routing> {
	for (let i = 0; i < times; i++) {
		const routing = getRouting(proxies[0]!);
		system.store.setRouting({...routing, version: routing.version + 1});
		await clock.advance(2000);
	}

	return getRouting(proxies[0]!);
}

/** The store is away and comes back from a copy. */
async function comeBackFrom({clock, system}: ProxyBench, copy: StoreCopy, rewriteMs?: number) {
	system.store.setTrouble(undefined, {silent: true});
	await clock.advance(AWAY_MS);
	system.store.heal();
	system.store.restore(copy, rewriteMs);
}

describe('a store that comes back from an older copy', () => {
	function doConfigurationTest(hosts: number, lost: number) {
		/** Guards against hosts that take a lower revision of the restored store for proof that their copy is complete. */
		it(`has a new configuration in force at each of ${hosts} hosts where ${lost} changes were lost`, async () => {
			const bench = await createProxyBench({proxies: hosts, maxConnections: 100});
			const copy = bench.system.store.takeCopy();
			const held = await changeRouting(bench, lost);
			await comeBackFrom(bench, copy);
			await bench.clock.advance(1000);
			bench.system.store.setRouting({...held, version: held.version + 1});
			await bench.clock.advance(APPLY_MS);
			expect([...new Set(bench.proxies.map(proxy => getRouting(proxy).version))]).to.deep.equal([held.version + 1]);
			bench.system.stop();
		});
	}

	doConfigurationTest(3, 3);
	doConfigurationTest(9, 30);
});
