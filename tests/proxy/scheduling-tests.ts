import {expect} from 'chai';
import type {ProxyFeatures} from '../../src/proxy/proxy-features.js';
import type {SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import {createProxyBench, describeAnswer, type ProxyBench} from './proxy-bench.js';

const PROXIES = 12;

/** Slots of each endpoint, and the statements that may be in flight there over all pool hosts. */
const SLOTS = 4;
const TOTAL_ROOM = 6;

const FEATURES: ProxyFeatures = {
	scheduling: {
		capacity: 1, poolHosts: 3, roomFactor: 1.5, leastShare: 0.1,
	},
};

/** Creates twelve proxies in three zones before endpoints that accept 14 connections, which three pool hosts in the endpoint's zone keep. */
const createFleet = async (features: ProxyFeatures | undefined = FEATURES) => createProxyBench({
	proxies: PROXIES, maxConnections: 14, slots: SLOTS, features,
});

/** Returns the pool hosts of the primary, in order of rank. */
const getPoolHosts = (bench: ProxyBench) => bench.proxies[0]!.kernel.getOrThrow('poolHosts')
	.getHosts({id: bench.getPrimary().id, group: 'nights'})
	.map(({name}) => bench.proxies.find(proxy => proxy.name === name)!);

/** What callers and the primary observed during one period. */
type Period = {
	readonly outcomes: Record<string, number>;
	readonly maxMs: number;
	/** Answers without an error. */
	readonly done: number;
	/** Longest time for which more statements than the budget were at the primary, in milliseconds. */
	readonly overMs: number;
	/** Most statements at the primary at one time. */
	readonly maxInFlight: number;
};

/** Starts callers that each send one statement after the other, two reads of the primary for each write, several at each proxy, until `stop`. */
async function startLoad(bench: ProxyBench, proxies: readonly SimulatedProxy[], perProxy = 4) {
	const {clock} = bench;
	let stopped = false;
	let observed: Array<{readonly outcome: string; readonly ms: number}> = [];
	const opened = await Promise.all(proxies.flatMap(proxy => Array.from({length: perProxy}, async () => bench.open(proxy, 'sync'))));
	const running = Promise.all(opened.map(async (caller, i) => {
		while (!stopped) {
			const askedAt = clock.now();
			const answer = await bench.send(caller, i % 3 === 0 ? `WRITE k${i} 1` : `READ k${i}`);
			observed.push({outcome: describeAnswer(answer).split(' ')[0]!, ms: clock.now() - askedAt});
			await clock.sleep(20);
		}
	}));

	return {
		/** Advances the clock and returns what was observed meanwhile. */
		async observe(ms: number): Promise<Period> {
			observed = [];
			let maxInFlight = 0;
			let overMs = 0;
			let overSince: number | undefined;
			for (let i = 0; i < ms; i++) {
				await clock.advance(1);
				const {running: inSlots, waiting} = bench.getPrimary().slots!;
				maxInFlight = Math.max(maxInFlight, inSlots + waiting);
				overSince = inSlots + waiting > TOTAL_ROOM ? overSince ?? clock.now() : undefined;
				overMs = Math.max(overMs, overSince === undefined ? 0 : clock.now() - overSince + 1);
			}

			const outcomes: Record<string, number> = {};
			for (const {outcome} of observed) {
				outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
			}

			return {
				outcomes, maxMs: Math.max(0, ...observed.map(({ms: took}) => took)), done: outcomes.done ?? 0, overMs, maxInFlight,
			};
		},
		async stop() {
			stopped = true;
			await clock.runUntil(running);
		},
	};
}

/** Time within which a new primary is promoted after its zone has failed, in milliseconds. */
const MAX_ZONE_LOSS_MS = 5500;

/** A failure of pool hosts, and what callers may observe while it begins. */
type Failure = {
	fail(bench: ProxyBench, poolHosts: readonly SimulatedProxy[]): void;
	/** Maximum number of statements that are refused, or whose outcome is unknown; none unless it is defined. */
	readonly mostLost?: number;
	/** Whether the endpoint may get more than the budget afterwards, since hosts use connections of their own until the list of hosts has changed. */
	readonly mayExceed?: boolean;
};

const cutFromHosts = ({system, proxies}: ProxyBench, cut: SimulatedProxy) => {
	for (const {peerAddress} of proxies.filter(proxy => proxy !== cut)) {
		system.network.setFaultsBetween(cut.peerAddress, peerAddress, {cut: true});
	}
};

/** By what happens; the first pool host is the allocator of the budget. */
const FAILURES: Readonly<Record<string, Failure>> = {
	'the allocator is killed': {
		fail({system}, [first]) {
			system.kill(first!);
		},
		mostLost: 2,
	},
	'another pool host is killed': {
		fail({system}, poolHosts) {
			system.kill(poolHosts[2]!);
		},
		mostLost: 2,
	},
	'a pool host loses power': {
		fail({system}, [first]) {
			system.powerOff(first!);
		},
		mostLost: 2,
	},
	// 4 requests of other hosts' callers have waited there for so long that no time is left for another pool host.
	'a pool host is frozen': {
		fail({system}, [first]) {
			system.suspend(first!);
		},
		mostLost: 4,
	},
	// A third of the callers wait at that pool host until it finds that the endpoint does not respond to it.
	'a pool host is cut off from the endpoint only': {
		fail({getPrimary}, [first]) {
			first!.cutFrom.add(getPrimary().id);
		},
		mostLost: 12,
	},
	'a pool host is cut off from all other hosts': {
		fail(bench, [first]) {
			cutFromHosts(bench, first!);
		},
		mostLost: 4,
	},
	'a pool host is stopping': {
		fail(_bench, [first]) {
			first!.kernel.getOrThrow('checkoutServer').retire();
		},
	},
	'all pool hosts are killed at once': {
		fail({system}, poolHosts) {
			for (const poolHost of poolHosts) {
				system.kill(poolHost);
			}
		},
		mostLost: 6,
		mayExceed: true,
	},
	'the store is down and the allocator is killed': {
		fail({system}, [first]) {
			system.store.setFaults(undefined, {refused: true});
			system.kill(first!);
		},
		mostLost: 2,
	},
};

describe('statements that are scheduled over all hosts', () => {
	/**
	 * 48 callers at twelve hosts send to a primary that runs 4 statements at once. Without a common budget its queue holds as many statements as it has connections, in order of arrival. With
	 * one they wait at the pool hosts, where they can be ordered, and as many are served.
	 */
	it('are in flight at an endpoint in the number that it runs, and are served as fast', async () => {
		const served: number[] = [];
		for (const features of [{}, FEATURES]) {
			const bench = await createFleet(features);
			const load = await startLoad(bench, bench.proxies);
			await load.observe(500);
			const {done, outcomes, maxInFlight, overMs} = await load.observe(2000);
			await load.stop();
			served.push(done);
			expect(Object.keys(outcomes)).to.deep.equal(['done']);
			expect(features.scheduling ? maxInFlight <= TOTAL_ROOM && overMs === 0 : maxInFlight > TOTAL_ROOM).to.equal(true);
		}

		expect(served[1]).to.be.at.least(served[0]! * 0.97);
	});

	for (const [name, {fail, mostLost = 0, mayExceed = false}] of Object.entries(FAILURES)) {
		/**
		 * Guards against callers of healthy hosts that are refused, or wait, for longer than the failure takes to be noticed, against places of the budget that stay with a pool host which has
		 * failed, and against an endpoint that gets more than its budget because two hosts allocate it.
		 */
		it(`are served through the other pool hosts where ${name}`, async () => {
			const bench = await createFleet();
			const poolHosts = getPoolHosts(bench);
			expect(poolHosts.map(({availabilityZone}) => availabilityZone)).to.deep.equal(['zone-0', 'zone-0', 'zone-0']);
			const load = await startLoad(bench, bench.proxies.filter(proxy => !poolHosts.includes(proxy)));
			await load.observe(500);
			const before = await load.observe(1000);
			fail(bench, poolHosts);
			const during = await load.observe(1200);
			const after = await load.observe(1000);
			bench.system.resume(poolHosts[0]!);
			await load.stop();
			const {done, ...lost} = during.outcomes;
			expect(Object.values(lost).reduce((sum, count) => sum + count, 0), JSON.stringify(lost)).to.be.at.most(mostLost);
			expect(Object.keys(after.outcomes)).to.deep.equal(['done']);
			// One place of the budget stays with a pool host that is listed but does not report, unless the allocator knows that it has failed.
			expect(after.done).to.be.at.least(before.done * 0.9);
			expect(after.maxMs).to.be.at.most(200);
			// While shares change hands, the total may be exceeded by at most itself for one report interval.
			for (const {overMs, maxInFlight} of mayExceed ? [] : [during, after]) {
				expect(overMs).to.be.at.most(100);
				expect(maxInFlight).to.be.at.most(2 * TOTAL_ROOM);
			}
		});
	}

	/**
	 * A zone fails with the primary, all its pool hosts and all other hosts there. The hosts that have seen the primary last are gone; if only pool hosts watched it, it would be replaced once
	 * they had been removed from the list of hosts, some 6 s later.
	 */
	it('get a new primary soon where the zone of the primary and of its pool hosts fails', async () => {
		const bench = await createFleet();
		const lost = bench.getPrimary();
		for (const proxy of bench.proxies.filter(({availabilityZone}) => availabilityZone === lost.availabilityZone)) {
			bench.system.powerOff(proxy);
		}

		bench.group.crash(lost);
		const failedAt = bench.clock.now();
		while (bench.getPrimary() === lost && bench.clock.now() - failedAt < 12_000) {
			await bench.clock.advance(50);
		}

		expect(bench.clock.now() - failedAt).to.be.at.most(MAX_ZONE_LOSS_MS);
	});

	/** The three pool hosts of a healthy primary are frozen together. The hosts that watch it would take it for lost if they observed it through its pool hosts only. */
	it('keep their primary where all its pool hosts are frozen', async () => {
		const bench = await createFleet();
		const primary = bench.getPrimary();
		for (const poolHost of getPoolHosts(bench)) {
			bench.system.suspend(poolHost);
		}

		await bench.clock.advance(6000);
		expect([bench.getPrimary(), bench.system.orders.length]).to.deep.equal([primary, 0]);
	});
});
