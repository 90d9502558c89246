import {expect} from 'chai';
import {Outcome} from '../../src/callers/caller-response.js';
import {findLostOrDuplicated, findUntrueRefusals, type SentWrite} from '../../src/demo/verify-writes.js';

type ReportedOutcome = Pick<SentWrite, 'outcome' | 'code'>;

describe('the demo\'s verification of writes', () => {
	// Each case is one filing: the outcome that was reported to its attorney, and how often the table holds it.
	const doTest = (reported: ReportedOutcome, rows: number, expected: {lostOrDuplicated: string[]; untrue: string[]}) => {
		const write: SentWrite = {
			...reported, mark: 'filing-1', sentAt: 0, answeredAt: 10,
		};
		const stored = ['filing-2', ...Array.from({length: rows}, () => 'filing-1')];
		expect(findLostOrDuplicated([write], stored)).to.deep.equal(expected.lostOrDuplicated);
		expect(findUntrueRefusals([write], stored)).to.deep.equal(expected.untrue);
	};

	const done: ReportedOutcome = {outcome: Outcome.Done};
	const refused: ReportedOutcome = {outcome: Outcome.NotRun, code: 'queue-full'};
	const unknown: ReportedOutcome = {outcome: Outcome.Unknown, code: 'owner-silent'};
	const stillUnknown = 'filing-1 was left unsure (owner-silent), also when its outcome was asked for';

	it('accepts an acknowledged filing that is stored once', () => {
		doTest(done, 1, {lostOrDuplicated: [], untrue: []});
	});

	it('finds an acknowledged filing that is not stored', () => {
		doTest(done, 0, {lostOrDuplicated: ['filing-1 was acknowledged and is not there'], untrue: []});
	});

	it('finds a filing that is stored twice', () => {
		doTest(done, 2, {lostOrDuplicated: ['filing-1 is there 2 times'], untrue: []});
	});

	it('accepts a refused filing that is not stored', () => {
		doTest(refused, 0, {lostOrDuplicated: [], untrue: []});
	});

	it('finds a filing that was refused as not run and is stored', () => {
		doTest(refused, 1, {lostOrDuplicated: [], untrue: ['filing-1 was refused as not run (queue-full) and is there']});
	});

	it('finds a filing whose outcome stayed unknown, whether it is stored or not', () => {
		doTest(unknown, 0, {lostOrDuplicated: [stillUnknown], untrue: []});
		doTest(unknown, 1, {lostOrDuplicated: [stillUnknown], untrue: []});
	});
});
