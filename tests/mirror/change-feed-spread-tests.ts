import {expect} from 'chai';
import {
	createNewsFleet, createRouting, type NewsFleet,
} from '../../src/bench/news-spread/news-fleet.js';

const HOSTS = 195;
const ZONES = 6;

/** A fleet in which every host is registered and has news of the store. */
async function createCalmFleet(hostCount = HOSTS): Promise<NewsFleet> {
	const bench = createNewsFleet({hostCount, zoneCount: ZONES});
	bench.store.setRouting(createRouting(1, 34));
	await bench.settle();
	return bench;
}

const getMostSent = ({hosts}: NewsFleet) => Math.max(...hosts.map(({sentBytes}) => sentBytes));

describe('news of the store among hundreds of hosts', () => {
	/**
	 * An operator changes one setting. Where the host that reads the store sends the whole of its copy to each other host, 195 hosts have 6 MB to wait for on
	 * one link of 14 Mbit/s; its answers are late, each host takes it to be dead and goes to the store, and callers' requests wait behind all that.
	 */
	it('brings a change of one setting everywhere within a second, and no host sends much for it', async () => {
		const bench = await createCalmFleet();
		bench.store.setRouting(createRouting(2, 34, 900));
		expect(await bench.awaitVersion(bench.hosts, 2)).to.be.lessThan(1000);
		expect(getMostSent(bench)).to.be.lessThan(200_000);
		bench.stop();
	});

	it('brings many new routes everywhere within the same time, piece by piece', async () => {
		const bench = await createCalmFleet();
		bench.store.setRouting(createRouting(2, 1852));
		expect(await bench.awaitVersion(bench.hosts, 2)).to.be.lessThan(2000);
		expect(bench.hosts.every(({mirror}) => mirror.state.routing!.routes.size === 1852)).to.equal(true);
		bench.stop();
	});

	it('costs the store the same in calm times however many hosts there are, and each host a few bytes', async () => {
		const bench = await createCalmFleet();
		const before = bench.store.calls;
		await bench.clock.advance(7000);
		expect(bench.store.calls - before).to.be.at.most(11);
		expect(getMostSent(bench) / 7).to.be.lessThan(5000);
		bench.stop();
	});

	/** A question goes up the tree level by level. Were its age counted from each host's answer, evidence would outlast what whoever replaces a primary waits for. */
	it('never counts from later than the store was asked', async () => {
		const bench = await createCalmFleet(60);
		bench.store.setTrouble(undefined, {silent: true});
		const cutAt = bench.clock.now();
		await bench.clock.advance(2500);
		const ages = bench.hosts.map(({mirror}) => mirror.storeConfirmedAt!);
		expect(Math.max(...ages)).to.be.at.most(Math.max(...bench.hosts.map(({mirror}) => mirror.confirmedAt!)));
		expect(bench.hosts[0]!.mirror.storeConfirmedAt).to.equal(Math.max(...ages));
		expect(bench.clock.now() - cutAt).to.equal(2500);
		bench.stop();
	});

	/** The host that reads for all freezes. Hundreds of hosts that go to the store at once are more than the outage that they fear. */
	it('goes on when the host that reads for all is gone, without a rush on the store', async () => {
		const bench = await createCalmFleet();
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

	it('reaches every host while a third of them are cut off from the store', async () => {
		const bench = await createCalmFleet();
		for (const [i, {name}] of bench.hosts.entries()) {
			if (i % 3 === 0) {
				bench.store.setTrouble(name, {silent: true});
			}
		}

		bench.store.setRouting(createRouting(2, 34));
		expect(await bench.awaitVersion(bench.hosts, 2)).to.be.lessThan(3000);
		bench.stop();
	});

	/** Hosts that start know nobody. If each reads the store until it sees the others, a start of 195 hosts costs a thousand calls. */
	it('is found by hosts that all start at once, by way of seeds', async () => {
		const bench = createNewsFleet({hostCount: HOSTS, zoneCount: ZONES, seeds: 3});
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
