import {expect} from 'chai';
import {createCongestionWindow} from '../../src/links/congestion-window.js';

describe('the congestion window of an endpoint', () => {
	it('is unbounded before a statement is rejected', () => {
		const window = createCongestionWindow();
		window.noteServed();
		expect(window.size).to.equal(Number.POSITIVE_INFINITY);
	});

	it('is half of the statements in flight once a statement is rejected', () => {
		const window = createCongestionWindow();
		window.noteRejected(6, 0);
		expect(window.size).to.equal(3);
	});

	it('shrinks once for statements that are rejected together', () => {
		const window = createCongestionWindow();
		for (const now of [0, 1, 50, 99]) {
			window.noteRejected(8, now);
		}

		expect(window.size).to.equal(4);
		window.noteRejected(4, 100);
		expect(window.size).to.equal(2);
	});

	it('is never below one, so that statements are still sent to the endpoint', () => {
		const window = createCongestionWindow();
		for (let now = 0; now < 10_000; now += 100) {
			window.noteRejected(1, now);
		}

		expect(window.size).to.equal(1);
	});

	it('grows by one for each full window that is served', () => {
		const window = createCongestionWindow();
		window.noteRejected(4, 0);
		for (let served = 0; served < 2; served++) {
			window.noteServed();
		}

		expect(window.size).to.be.within(2.8, 3);
	});

	it('is unbounded again once it has grown', () => {
		const window = createCongestionWindow();
		window.noteRejected(1, 0);
		for (let served = 0; served < 64 * 64; served++) {
			window.noteServed();
		}

		expect(window.size).to.equal(Number.POSITIVE_INFINITY);
	});
});
