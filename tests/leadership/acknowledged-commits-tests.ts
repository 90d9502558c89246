import {expect} from 'chai';
import {createAcknowledgedCommits, getAcknowledgedEnd, type ReceivedReport} from '../../src/leadership/acknowledged-commits.js';
import type {LogPosition} from '../../src/terms/log-position.js';

const getPosition = (position: number): LogPosition => ({term: 1, position});

const getReport = (report: Partial<ReceivedReport['report']>, askedAt = 10_000): ReceivedReport => ({askedAt, receivedAt: askedAt + 10, report: {notedForMs: 9000, ...report}});

describe('the end of what hosts have acknowledged', () => {
	function doTest(name: string, reports: readonly ReceivedReport[], expected: number | undefined, listedAt = 10_000) {
		it(name, () => {
			expect(getAcknowledgedEnd(reports, listedAt)?.position).to.equal(expected);
		});
	}

	const sample = {position: getPosition(5), ageMs: 100};
	doTest('is the highest position that a host acknowledged', [getReport({sample, newest: getPosition(9)}), getReport({newest: getPosition(7)})], 9);
	doTest('is a sample where no host acknowledged anything later', [getReport({sample}), getReport({})], 5);
	doTest('is the lowest sample that is recent enough', [getReport({sample}), getReport({sample: {position: getPosition(8), ageMs: 20}})], 5);
	doTest('is not known without a sample', [getReport({newest: getPosition(9)}), getReport({})], undefined);
	doTest('is not known where a host started after the sample: an earlier process may have acknowledged more', [getReport({sample}), getReport({notedForMs: 90})], undefined);
	doTest('is known where a host started before the sample', [getReport({sample}), getReport({notedForMs: 200})], 5);
	doTest('is not known where hosts that are not listed may have acknowledged more since the sample', [getReport({sample: {...sample, ageMs: 3000}})], undefined);
});

describe('the account of acknowledged commits', () => {
	it('reports the newest position, the time since its start and the age of the sample', () => {
		let now = 100;
		const commits = createAcknowledgedCommits(() => now);
		now = 500;
		commits.note('nights', {position: getPosition(4), before: getPosition(1)});
		commits.note('nights', {position: getPosition(3), before: getPosition(2)});
		commits.note('nights', {position: getPosition(2), before: undefined});
		expect(commits.report('nights', {askedAt: 450, position: getPosition(2)})).to.deep.equal({
			notedForMs: 400, newest: getPosition(4), exceeded: getPosition(2), sample: {position: getPosition(2), ageMs: 50},
		});
		expect(commits.report('days', undefined)).to.deep.equal({notedForMs: 400});
	});

	it('reports nothing where a commit was acknowledged without a position', () => {
		const commits = createAcknowledgedCommits(() => 0);
		commits.note('nights', {position: undefined, before: undefined});
		expect(commits.report('nights', undefined)).to.equal(undefined);
	});
});
