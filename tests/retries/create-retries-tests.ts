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

	it('spends a group\'s budget and leaves the others alone', () => {
		const retries = createRetries();
		const answers = Array.from({length: 6}, () => fail(retries, 'filings', 0));
		expect(answers.join(', ')).to.equal('retry, retry, retry, retry, retry, budget 2000');
		expect(fail(retries, 'nights', 0)).to.equal('retry');
		retries.forget('filings');
		expect(fail(retries, 'filings', 0)).to.equal('retry');
	});

	it('does not spend the budget on going to another owner', () => {
		const retries = createRetries();
		for (let i = 0; i < 20; i++) {
			expect(fail(retries, 'filings', 0, {...SILENT_READ, provedNotRun: true, otherOwnerLeft: true})).to.equal('retry');
		}

		expect(retries.getBudget('filings', 0).getState(0).left).to.equal(5);
	});

	// Story: a group's server is gone for seconds. All its callers are refused, all are told the same moment to come back,
	// and the server, just up again, is overrun by all of them at once.
	it('lets refused callers come back one by one, no faster than fresh requests', () => {
		const retries = createRetries({share: 0});
		for (let i = 0; i < 100; i++) {
			retries.noteFresh('filings', i * 100);
		}

		const answers = Array.from({length: 8}, () => fail(retries, 'filings', 10_000));
		const times = answers.slice(5).map(answer => Number(answer.split(' ')[1]));
		expect(times.join(', ')).to.equal('2000, 2159, 2318');
	});
});
