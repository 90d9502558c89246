import {expect} from 'chai';
import {createRetries, type Retries} from '../../src/retries/create-retries.js';
import type {FailedTry} from '../../src/retries/retry-policy.js';

const SILENT_READ: FailedTry = {
	provedNotRun: false, isRead: true, hasKey: false, otherOwnerLeft: false,
};

describe('retries', () => {
	const fail = (retries: Retries, group: string, now: number, failed = SILENT_READ) => {
		const next = retries.decide({
			group, failed, tries: 1, deadlineAt: now + 1000, fraction: 0,
		}, now);
		return next.retry ? 'retry' : `${next.reason} ${next.retryAfterMs}`;
	};

	it('takes retries from the budget of their own group only', () => {
		const retries = createRetries();
		const answers = Array.from({length: 6}, () => fail(retries, 'filings', 0));
		expect(answers.join(', ')).to.equal('retry, retry, retry, retry, retry, budget 2000');
		expect(fail(retries, 'nights', 0)).to.equal('retry');
		retries.forget('filings');
		expect(fail(retries, 'filings', 0)).to.equal('retry');
	});

	it('takes nothing from the budget for a try at another owner', () => {
		const retries = createRetries();
		for (let i = 0; i < 20; i++) {
			expect(fail(retries, 'filings', 0, {...SILENT_READ, provedNotRun: true, otherOwnerLeft: true})).to.equal('retry');
		}

		expect(retries.getBudget('filings', 0).getState(0).left).to.equal(5);
	});

	// A group's server is down for seconds and all of its callers are refused. With the same retry-after for all, they would try again
	// at once and overload the server that has just restarted.
	it('spreads the retry-after of refused callers, no closer than fresh requests arrive', () => {
		const retries = createRetries({share: 0});
		for (let i = 0; i < 100; i++) {
			retries.noteFresh('filings', i * 100);
		}

		const answers = Array.from({length: 8}, () => fail(retries, 'filings', 10_000));
		const times = answers.slice(5).map(answer => Number(answer.split(' ')[1]));
		expect(times.join(', ')).to.equal('2000, 2159, 2318');
	});
});
