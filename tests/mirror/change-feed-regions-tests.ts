import {expect} from 'chai';
import type {HostRecord} from '../../src/leadership/leadership-record.js';
import {createMirrorFleet, createRouting} from '../../src/bench/news-spread/mirror-fleet.js';
import {RecordKind} from '../../src/mirror/metadata-store.js';

/** Creates a fleet in two regions, whose small hosts send 2 Mbit/s, with one configuration everywhere. */
async function createRegionalFleet() {
	const fleet = createMirrorFleet({hostCount: 86, zoneCount: 6, regional: {isInForce: true, smallMbits: 2}});
	fleet.store.setRouting(createRouting(1, 34));
	await fleet.start();
	return fleet;
}

const isEast = ({zone}: {readonly zone: string}) => zone < 'zone-3';

describe('store updates in two regions', () => {
	/** An operator adds 1,700 routes. Sent uncompressed to five hosts at once over 2 Mbit/s, they time out, and all hosts read the store. */
	it('carry a large change to every host within 5 s, once between the regions, without reads of the store by the others', async () => {
		const fleet = await createRegionalFleet();
		fleet.resetFigures();
		const {calls} = fleet.store;
		fleet.store.setRouting(createRouting(2, 1700));
		expect(await fleet.awaitVersion(fleet.hosts, 2)).to.be.lessThan(5000);
		expect(fleet.crossRegionBytes).to.be.lessThan(20_000);
		expect(fleet.store.calls - calls).to.be.lessThan(20);
		fleet.stop();
	});

	it('reach all others within 2 s where the hosts that lead both regions are lost at once', async () => {
		const fleet = await createRegionalFleet();
		const heads = fleet.getHeads();
		for (const {address} of heads) {
			fleet.network.pause(address);
		}

		fleet.store.setRouting(createRouting(2, 34));
		expect(heads.map(host => isEast(host))).to.have.members([true, false]);
		expect(await fleet.awaitVersion(fleet.hosts.filter(host => !heads.includes(host)), 2)).to.be.lessThan(2000);
		fleet.stop();
	});

	/** The regions lose each other. The far one goes on with what it has, or reads the store if it still reaches that, and is up to date soon after the link is back. */
	for (const reachesStore of [true, false]) {
		it(`reach the far region while the regions are cut off ${reachesStore ? 'by the store' : 'only after that'}`, async () => {
			const fleet = await createRegionalFleet();
			const [far, near] = [fleet.hosts.filter(host => isEast(host)), fleet.hosts.filter(host => !isEast(host))];
			for (const left of far) {
				for (const right of near) {
					fleet.network.setFaultsBetween(left.address, right.address, {cut: true});
				}

				if (!reachesStore) {
					fleet.store.setFaults(left.name, {silent: true});
				}
			}

			await fleet.clock.advance(8000);
			fleet.store.setRouting(createRouting(2, 34));
			expect(await fleet.awaitVersion(near, 2)).to.be.lessThan(2000);
			if (!reachesStore) {
				await fleet.clock.advance(2000);
				expect(far.every(({mirror}) => mirror.state.routing?.version === 1)).to.equal(true);
				fleet.network.heal();
				fleet.store.heal();
			}

			expect(await fleet.awaitVersion(far, 2)).to.be.lessThan(3000);
			fleet.stop();
		});
	}

	/** The store moves. Records change one after another, so that for a while the first hosts of the two regions take each other for the root. */
	it('arrive within 2 s while hosts disagree about the region of the root', async () => {
		const fleet = await createRegionalFleet();
		const moving = (async () => {
			for (const host of fleet.hosts) {
				const record = fleet.store.getRecord(RecordKind.Hosts, host.name)!;
				const value: HostRecord = {...record.value as HostRecord, storeRttMs: isEast(host) ? 5 : 20};
				await fleet.store.getClient(host.name).putRecord(RecordKind.Hosts, {...record, value}, 900);
				await fleet.clock.sleep(100);
			}
		})();
		for (let version = 2; version <= 6; version++) {
			fleet.store.setRouting(createRouting(version, 34));
			expect(await fleet.awaitVersion(fleet.hosts, version)).to.be.lessThan(2000);
			await fleet.clock.advance(900);
		}

		await fleet.clock.runUntil(moving);
		fleet.stop();
	});
});
