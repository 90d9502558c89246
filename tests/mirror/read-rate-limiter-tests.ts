import {expect} from 'chai';
import {createReadRateLimiter} from '../../src/mirror/read-rate-limiter.js';

describe('the limit of reads outside the schedule', () => {
	function doTest(hosts: number, afterMs: number, expected: boolean) {
		it(`${expected ? 'permits' : 'refuses'} another read of one of ${hosts} hosts after ${afterMs} ms`, () => {
			const limiter = createReadRateLimiter();
			expect(limiter.take(hosts, 1000)).to.equal(true);
			expect(limiter.take(hosts, 1000 + afterMs)).to.equal(expected);
		});
	}

	doTest(9, 400, false);
	doTest(9, 450, true);
	doTest(195, 9000, false);
	doTest(195, 9750, true);
});
