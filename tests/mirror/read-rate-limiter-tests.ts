import {expect} from 'chai';
import {createReadRateLimiter} from '../../src/mirror/read-rate-limiter.js';

describe('the permit to read the store out of turn', () => {
	function doTest(hosts: number, afterMs: number, expected: boolean) {
		it(`is ${expected ? '' : 'not '}given again ${afterMs} ms later to one of ${hosts} hosts`, () => {
			const permit = createReadRateLimiter();
			expect(permit.take(hosts, 1000)).to.equal(true);
			expect(permit.take(hosts, 1000 + afterMs)).to.equal(expected);
		});
	}

	doTest(9, 400, false);
	doTest(9, 450, true);
	doTest(195, 9000, false);
	doTest(195, 9750, true);
});
