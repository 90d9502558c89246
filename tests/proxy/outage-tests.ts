import {expect} from 'chai';
import type {SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import {createProxyBench, type ProxyBench} from './proxy-bench.js';

/** More than all can ask each other. */
const HOSTS = 40;

const OUTAGE_MS = 8000;

const STEP_MS = 250;

/** Hosts that may not use the primary at this moment. */
function getWithoutEvidence(proxies: readonly SimulatedProxy[]): readonly string[] {
	const without = proxies.filter(({kernel, clock}) => kernel.getOrThrow('primaryLeases').get('nights', clock.elapsed()) === undefined);
	return without.map(({name}) => name);
}

/** Plays an outage of the store; moments at which some host that lives could not use the primary. */
async function playOutage({clock, system, proxies}: ProxyBench, isLiving: (proxy: SimulatedProxy) => boolean) {
	system.store.setTrouble(undefined, {silent: true});
	const gaps: string[] = [];
	for (let ms = 0; ms < OUTAGE_MS; ms += STEP_MS) {
		await clock.advance(STEP_MS);
		const without = getWithoutEvidence(proxies.filter(proxy => isLiving(proxy)));
		if (without.length > 0) {
			gaps.push(`${ms} ms: ${without.join(' ')}`);
		}
	}

	return gaps;
}

describe('an outage of the store before a large fleet', () => {
	/**
	 * The store is silent for 8 s. Members go on syncing at nine hosts, which ask each other whether a primary is being replaced. Forty cannot all ask each other; each
	 * asked the endpoints by itself, some of them too late, and refused until it had their answers.
	 */
	it('stops no calm traffic', async () => {
		const bench = await createProxyBench({proxies: HOSTS, maxConnections: 100});
		expect(await playOutage(bench, () => true)).to.deep.equal([]);
		bench.system.stop();
	});

	/** One host is gone for good as the outage begins: nobody can have its word any more. */
	it('stops none either where a host dies with it', async () => {
		const bench = await createProxyBench({proxies: HOSTS, maxConnections: 100});
		const dead = bench.proxies[7]!;
		bench.system.powerOff(dead);
		expect(await playOutage(bench, proxy => proxy !== dead)).to.deep.equal([]);
		bench.system.stop();
	});

	/** The host that reads the store for all is the one that dies. */
	it('stops none for longer than it takes the others to notice the loss of the host that reads for all', async () => {
		const bench = await createProxyBench({proxies: HOSTS, maxConnections: 100});
		const dead = bench.proxies.find(({kernel}) => kernel.getOrThrow('storeMirror').readsForAll)!;
		bench.system.powerOff(dead);
		const gaps = await playOutage(bench, proxy => proxy !== dead);
		expect(gaps.length * STEP_MS, gaps.join('; ')).to.be.at.most(1500);
		bench.system.stop();
	});

	/** Each question for fences takes a slot of an endpoint, which callers wait for as well. */
	it('has few hosts ask the endpoints for fences', async () => {
		const asked: string[] = [];
		const log = {
			debug() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			info(sentence: string) {
				if (sentence.startsWith('endpoints were asked for fences')) {
					asked.push(sentence);
				}
			},
			warn() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			error() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			part: () => log,
		};
		const bench = await createProxyBench({proxies: HOSTS, maxConnections: 100, log});
		await playOutage(bench, () => true);
		expect(asked.length).to.be.lessThan(2 * OUTAGE_MS / 400);
		bench.system.stop();
	});
});
