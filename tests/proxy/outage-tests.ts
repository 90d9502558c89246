import {expect} from 'chai';
import type {SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import {createProxyBench, type ProxyBench} from './proxy-bench.js';

/** Too many hosts for each to send requests to all others. */
const HOSTS = 40;

const OUTAGE_MS = 8000;

const STEP_MS = 250;

/** Returns the hosts that hold no primary lease at this moment. */
function getWithoutLease(proxies: readonly SimulatedProxy[]): readonly string[] {
	const without = proxies.filter(({kernel, clock}) => kernel.getOrThrow('primaryLeases').get('nights', clock.elapsed()) === undefined);
	return without.map(({name}) => name);
}

/** Simulates an outage of the store. Returns the moments at which some live host could not use the primary, with these hosts. */
async function playOutage({clock, system, proxies}: ProxyBench, isLiving: (proxy: SimulatedProxy) => boolean) {
	system.store.setFaults(undefined, {silent: true});
	const gaps: string[] = [];
	for (let ms = 0; ms < OUTAGE_MS; ms += STEP_MS) {
		await clock.advance(STEP_MS);
		const without = getWithoutLease(proxies.filter(proxy => isLiving(proxy)));
		if (without.length > 0) {
			gaps.push(`${ms} ms: ${without.join(' ')}`);
		}
	}

	return gaps;
}

describe('an outage of the store before a large fleet', () => {
	/**
	 * The store is silent for 8 s. Nine hosts go on serving, since each can ask all others whether a primary is being replaced. Forty cannot; each
	 * asked the endpoints by itself, some of them too late, and refused callers until it had their answers.
	 */
	it('does not interrupt traffic', async () => {
		const bench = await createProxyBench({proxies: HOSTS, maxConnections: 100});
		expect(await playOutage(bench, () => true)).to.deep.equal([]);
		bench.system.stop();
	});

	/** One host dies for good as the outage begins, and can no longer confirm that it replaces no primary. */
	it('does not interrupt traffic where a host dies as it begins', async () => {
		const bench = await createProxyBench({proxies: HOSTS, maxConnections: 100});
		const dead = bench.proxies[7]!;
		bench.system.powerOff(dead);
		expect(await playOutage(bench, proxy => proxy !== dead)).to.deep.equal([]);
		bench.system.stop();
	});

	/** The host that dies is the one that reads the store for all. */
	it('interrupts traffic no longer than the others need to detect the loss of the host that reads the store for all', async () => {
		const bench = await createProxyBench({proxies: HOSTS, maxConnections: 100});
		const dead = bench.proxies.find(({kernel}) => kernel.getOrThrow('storeMirror').readsForAll)!;
		bench.system.powerOff(dead);
		const gaps = await playOutage(bench, proxy => proxy !== dead);
		expect(gaps.length * STEP_MS, gaps.join('; ')).to.be.at.most(1500);
		bench.system.stop();
	});

	/** Each query for fences uses a slot of an endpoint, for which callers wait as well. */
	it('has few hosts query the endpoints for fences', async () => {
		const fenceQueries: string[] = [];
		const log = {
			debug() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			info(sentence: string) {
				if (sentence.startsWith('endpoints were asked for fences')) {
					fenceQueries.push(sentence);
				}
			},
			warn() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			error() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			withPrefix: () => log,
		};
		const bench = await createProxyBench({proxies: HOSTS, maxConnections: 100, log});
		await playOutage(bench, () => true);
		expect(fenceQueries.length).to.be.lessThan(2 * OUTAGE_MS / 400);
		bench.system.stop();
	});
});
