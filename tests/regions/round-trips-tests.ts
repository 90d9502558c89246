import {expect} from 'chai';
import {createRoundTrip, createRoundTrips} from '../../src/regions/round-trips.js';

describe('the measured round-trip time', () => {
	it('has the smallest sample as its minimum, and follows the others within a second', () => {
		const roundTrip = createRoundTrip();
		roundTrip.note(16, 0);
		for (let now = 100; now <= 1100; now += 100) {
			roundTrip.note(48, now);
		}

		expect(roundTrip.getMinMs(1100)).to.equal(16);
		expect(roundTrip.getSmoothedMs(1100)).to.be.within(40, 48);
	});

	// A longer route between regions would otherwise count as congestion for ever.
	it('forgets a minimum of minutes ago', () => {
		const roundTrip = createRoundTrip();
		roundTrip.note(16, 0);
		for (let now = 60_000; now <= 300_000; now += 60_000) {
			roundTrip.note(30, now);
		}

		expect(roundTrip.getMinMs(300_000)).to.equal(30);
		expect(roundTrip.getMinMs(900_000)).to.equal(undefined);
	});

	it('of a zone without samples is that of the fastest zone of its region', () => {
		const roundTrips = createRoundTrips({getRegion: zone => zone[0]!});
		roundTrips.note('a1', 2, 0);
		roundTrips.note('b1', 18, 0);
		roundTrips.note('b2', 17, 0);
		expect(['a1', 'a2', 'b1', 'b3', 'c1'].map(zone => roundTrips.getMs(zone, 10))).to.deep.equal([2, 2, 18, 17, undefined]);
	});
});
