import {expect} from 'chai';
import {EndpointZoneLayout} from '../../src/connection-sharing/endpoint-zone-layout.js';
import type {HostRecord} from '../../src/leadership/leadership-record.js';

const REGIONS = new Map([['zone-0', 'north'], ['zone-1', 'north'], ['zone-2', 'south'], ['zone-3', 'south']]);

/** Creates hosts by zone, of which each `largeEvery`-th has four times the capacity of the others. */
const makeHosts = (perZone: readonly number[], largeEvery = Number.POSITIVE_INFINITY): HostRecord[] => perZone.flatMap((count, zone) => Array.from({length: count}, (_, i) => ({
	name: `entry-${zone}-${i}`, peerAddress: `10.${zone}.0.${i}:7000`, availabilityZone: `zone-${zone}`, capacity: i % largeEvery === 0 ? 1.296 : 0.324,
})));

describe('pool hosts in the zone of their endpoint', () => {
	/** Guards against pool hosts that are farther than necessary, and against fewer than asked for where a zone has lost hosts. */
	function doTest(name: string, perZone: readonly number[], zoneRegions: ReadonlyMap<string, string> | undefined, expected: readonly string[]) {
		it(name, () => {
			const select = new EndpointZoneLayout({poolHosts: 3, zoneRegions}).prepare(makeHosts(perZone));
			const zones = select({id: 'i-1', group: 'nights', availabilityZone: 'zone-0'}, 20).map(({availabilityZone}) => availabilityZone);
			expect(zones.map(zone => expected.includes(zone) ? zone : 'any')).to.deep.equal(expected);
		});
	}

	doTest('are all there while it has enough', [9, 9, 9, 9], REGIONS, ['zone-0', 'zone-0', 'zone-0']);
	doTest('are in its region where the zone has too few', [1, 9, 9, 9], REGIONS, ['zone-0', 'zone-1', 'zone-1']);
	doTest('are in the other region where the whole region has too few', [1, 1, 9, 0], REGIONS, ['zone-0', 'zone-1', 'zone-2']);
	doTest('are anywhere without regions', [1, 9, 9, 9], undefined, ['zone-0', 'any', 'any']);
	doTest('are fewer where there are no more hosts', [1, 1], undefined, ['zone-0', 'zone-1']);

	/** Guards against small hosts being given as many pools as hosts with four times their processor time. */
	it('are in proportion to the capacity of hosts', () => {
		const select = new EndpointZoneLayout({poolHosts: 1}).prepare(makeHosts([27, 0, 0], 13));
		let large = 0;
		for (let i = 0; i < 1000; i++) {
			large += select({id: `i-${i}`, group: 'nights', availabilityZone: 'zone-0'}, 20)[0]!.capacity! > 1 ? 1 : 0;
		}

		// 3 of 27 hosts have a third of the capacity.
		expect(large).to.be.within(270, 400);
	});

	/** Guards against all caches that depend on the pool hosts being dropped at each change of any host of a large fleet. */
	it('stay the same array where another zone changes', () => {
		const layout = new EndpointZoneLayout({poolHosts: 3});
		const endpoint = {id: 'i-1', group: 'nights', availabilityZone: 'zone-0'};
		const before = layout.prepare(makeHosts([9, 9]))(endpoint, 20);
		expect(layout.prepare(makeHosts([9, 8]))(endpoint, 20)).to.equal(before);
		expect(layout.prepare(makeHosts([8, 8]))(endpoint, 20)).to.not.equal(before);
	});

	it('change only where a host was one of them', () => {
		const hosts = makeHosts([9]);
		const before = new EndpointZoneLayout({poolHosts: 3}).prepare(hosts);
		const after = new EndpointZoneLayout({poolHosts: 3}).prepare(hosts.slice(1));
		for (let i = 0; i < 100; i++) {
			const endpoint = {id: `i-${i}`, group: 'nights', availabilityZone: 'zone-0'};
			const kept = before(endpoint, 20).filter(({name}) => name !== hosts[0]!.name);
			expect(after(endpoint, 20).slice(0, kept.length)).to.deep.equal(kept);
		}
	});
});
