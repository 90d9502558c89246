import {expect} from 'chai';
import {runStatementSoak} from './run-statement-soak.js';

/** Guards against statements that run with other words, names, session values or transactions than their callers'. */
describe('a short soak of statements', () => {
	function doTest(seed: number, seconds: number, why: string) {
		it(`breaks no rule: seed ${seed}, ${why}`, async () => {
			const {violations, malformed, figures} = await runStatementSoak({seed, seconds, proxies: 3});
			expect(violations).to.deep.equal([]);
			expect(malformed).to.deep.equal([]);
			expect(figures.executed).to.be.greaterThan(0);
		});
	}

	doTest(1, 4, 'callers with session values');
	doTest(2, 4, 'callers without session values, whose connections keep what is prepared');
});
