import {expect} from 'chai';
import {createLoadReports} from '../../src/endpoint-load/load-reports.js';
import {createLoadView} from '../../src/endpoint-load/load-view.js';
import {createServiceTimes} from '../../src/endpoint-load/service-times.js';
import type {EndpointLoad} from '../../src/links/endpoint-load.js';

const LOAD: EndpointLoad = {
	limit: 4, inFlight: 2, queued: 0, serviceMs: 20, waitMs: 0,
};
const ASSUMED = {slots: 6, serviceMs: 30};

describe('the load of an endpoint as pool hosts report it', () => {
	function makeView(...loads: ReadonlyArray<Partial<EndpointLoad>>) {
		const reports = createLoadReports();
		for (const [i, load] of loads.entries()) {
			reports.note('e', {poolHost: `h${i}`, load: {...LOAD, ...load}, receivedAt: 1000});
		}

		return {reports, view: createLoadView(reports)};
	}

	it('has full weight for 100 ms, then less, and none after a second', () => {
		const {view} = makeView({});
		expect([1000, 1100, 1550, 2000, 5000].map(now => view.get('e', now, ASSUMED).weight)).to.deep.equal([1, 1, 0.5, 0, 0]);
		expect(view.get('other', 1000, ASSUMED).ageMs).to.equal(Number.POSITIVE_INFINITY);
	});

	it('is the last of each pool host', () => {
		const {reports, view} = makeView({inFlight: 4});
		reports.note('e', {poolHost: 'h0', load: LOAD, receivedAt: 1010});
		expect(view.get('e', 1010, ASSUMED)).to.include({limit: 4, inFlight: 2});
	});

	it('adds up the pool hosts, and takes the mean of their waits', () => {
		const {view} = makeView({waitMs: 30}, {waitMs: 50, inFlight: 4});
		expect(view.get('e', 1000, ASSUMED)).to.include({limit: 8, inFlight: 6, waitMs: 40});
	});

	// Guards against a host that sends a burst to one endpoint because the figure that it knows is from before the burst.
	it('adds what this host has sent since, until that has ended', () => {
		const {view} = makeView({inFlight: 4});
		const ends = [1001, 1002].map(at => view.noteSent('e', at));
		expect(view.get('e', 1010, ASSUMED)).to.include({inFlight: 6, waitMs: 10});
		for (const end of ends) {
			end();
		}

		expect(view.get('e', 1010, ASSUMED)).to.include({inFlight: 4, waitMs: 0});
	});

	it('derives the wait from the queue where the pool predicts none, and assumes the slots where it knows no limit', () => {
		const {view} = makeView({
			limit: Number.POSITIVE_INFINITY, inFlight: 6, queued: 3, serviceMs: 0,
		});
		expect(view.get('e', 1000, ASSUMED)).to.include({limit: 6, serviceMs: 30, waitMs: 15});
	});

	it('is that of the own pool at a pool host', () => {
		const {view} = makeView({inFlight: 4});
		expect(view.get('e', 9000, {...ASSUMED, own: LOAD})).to.include({weight: 1, ageMs: 0, inFlight: 2});
	});
});

describe('service times by prepared statement', () => {
	const KEY = {group: 'g', database: 'd', shape: 's'};

	it('separates slow statements from slow endpoints', () => {
		const times = createServiceTimes();
		for (let i = 0; i < 40; i++) {
			for (const id of ['a', 'b', 'c']) {
				times.note(id, KEY, id === 'a' ? 60 : 20, i);
				times.note(id, {...KEY, shape: 'long'}, id === 'a' ? 600 : 200, i);
			}
		}

		expect(times.getUsualMs({...KEY, shape: 'long'}) / times.getUsualMs(KEY)).to.be.closeTo(10, 0.5);
		expect(times.getFactor('a', 40) / times.getFactor('b', 40)).to.be.greaterThan(2);
		// Guards against an endpoint that is never read again after it was slow once.
		expect(times.getFactor('a', 40_000)).to.be.closeTo(1, 0.01);
	});

	it('keeps a bounded number of statements', () => {
		const times = createServiceTimes();
		for (let i = 0; i < 2000; i++) {
			times.note('a', {...KEY, shape: `s${i}`}, 20, i);
		}

		times.note('a', {...KEY, shape: 'beyond'}, 500, 0);
		expect(times.getUsualMs({...KEY, shape: 'another'})).to.equal(times.getUsualMs({...KEY, shape: 'beyond'}));
	});
});
