import {expect} from 'chai';
import {
	createMirrorFleet, createRouting, type MirrorFleet,
} from '../../src/bench/news-spread/mirror-fleet.js';

const HOSTS = 195;
const ZONES = 6;

/** Creates a fleet in which every host is registered and has received a store update. */
async function createSteadyFleet(hostCount = HOSTS): Promise<MirrorFleet> {
	const bench = createMirrorFleet({hostCount, zoneCount: ZONES});
	bench.store.setRouting(createRouting(1, 34));
	await bench.start();
	return bench;
}

const getMaxSentBytes = ({hosts}: MirrorFleet) => Math.max(...hosts.map(({sentBytes}) => sentBytes));

describe('store updates among hundreds of hosts', () => {
	/**
	 * An operator changes one setting. If the host that reads the store sent its whole copy to each other host, 195 hosts would wait for 6 MB on
	 * one link of 14 Mbit/s: its responses would be late, each host would take it to be dead and read the store, and callers' requests would wait behind that traffic.
	 */
	it('carry a change of one setting to every host within a second, and no host sends much for it', async () => {
		const bench = await createSteadyFleet();
		bench.store.setRouting(createRouting(2, 34, 900));
		expect(await bench.awaitVersion(bench.hosts, 2)).to.be.lessThan(1000);
		expect(getMaxSentBytes(bench)).to.be.lessThan(200_000);
		bench.stop();
	});

	it('carry many new routes to every host within 2 s, in pieces', async () => {
		const bench = await createSteadyFleet();
		bench.store.setRouting(createRouting(2, 1852));
		expect(await bench.awaitVersion(bench.hosts, 2)).to.be.lessThan(2000);
		expect(bench.hosts.every(({mirror}) => mirror.state.routing!.routes.size === 1852)).to.equal(true);
		bench.stop();
	});

	it('cost the store the same while nothing changes, however many hosts there are, and each host a few bytes', async () => {
		const bench = await createSteadyFleet();
		const before = bench.store.calls;
		await bench.clock.advance(7000);
		expect(bench.store.calls - before).to.be.at.most(11);
		expect(getMaxSentBytes(bench) / 7).to.be.lessThan(5000);
		bench.stop();
	});

	/** Updates pass through the tree level by level. If their age were counted from each host's response, a primary lease would outlast the time that a replacement of the primary waits for. */
	it('never date a confirmation later than the store was read', async () => {
		const bench = await createSteadyFleet(60);
		bench.store.setFaults(undefined, {silent: true});
		const cutAt = bench.clock.now();
		await bench.clock.advance(2500);
		const ages = bench.hosts.map(({mirror}) => mirror.storeConfirmedAt!);
		expect(Math.max(...ages)).to.be.at.most(Math.max(...bench.hosts.map(({mirror}) => mirror.partsConfirmedAt!)));
		expect(bench.hosts[0]!.mirror.storeConfirmedAt).to.equal(Math.max(...ages));
		expect(bench.clock.now() - cutAt).to.equal(2500);
		bench.stop();
	});

	/** The host that reads the store for all others freezes. Hundreds of hosts that read the store at once would be worse than the outage. */
	it('continue when the host that reads for all others fails, without overloading the store', async () => {
		const bench = await createSteadyFleet();
		const before = bench.store.calls;
		bench.network.pause(bench.hosts[0]!.address);
		await bench.clock.advance(4000);
		const now = bench.clock.now();
		bench.store.setRouting(createRouting(2, 34));
		const others = bench.hosts.slice(1);
		expect(await bench.awaitVersion(others, 2)).to.be.lessThan(1500);
		expect(bench.clock.now() - now).to.be.lessThan(1500);
		expect(bench.store.calls - before).to.be.lessThan(120);
		bench.stop();
	});

	it('reach every host while a third of them are cut off from the store', async () => {
		const bench = await createSteadyFleet();
		for (const [i, {name}] of bench.hosts.entries()) {
			if (i % 3 === 0) {
				bench.store.setFaults(name, {silent: true});
			}
		}

		bench.store.setRouting(createRouting(2, 34));
		expect(await bench.awaitVersion(bench.hosts, 2)).to.be.lessThan(3000);
		bench.stop();
	});

	/** Hosts that start know no other host. If each read the store until it saw the others, a start of 195 hosts would cost a thousand calls. */
	it('reach hosts that all start at once by way of seeds', async () => {
		const bench = createMirrorFleet({hostCount: HOSTS, zoneCount: ZONES, seeds: 3});
		bench.store.setRouting(createRouting(1, 34));
		for (const {mirror} of bench.hosts) {
			void mirror.start();
		}

		await bench.clock.advance(300);
		await bench.clock.runUntil(Promise.all(bench.hosts.map(async host => bench.register(host))));
		await bench.clock.advance(3000);
		expect(bench.hosts.map(({mirror}) => mirror.state.hosts.length)).to.deep.equal(bench.hosts.map(() => HOSTS));
		expect(bench.store.calls / HOSTS).to.be.lessThan(7);
		bench.stop();
	});
});
