import {expect} from 'chai';
import {Outcome} from '../../src/callers/caller-response.js';
import {findLostOrDoubled, findUntrueRefusals, type SentWrite} from '../../src/demo/judge-writes.js';

type Told = Pick<SentWrite, 'outcome' | 'code'>;

describe('the demo\'s judgement of writes', () => {
	// Each story is one filing: what its attorney was told, and how often it stands in the table.
	const doTest = (told: Told, rows: number, expected: {lostOrDoubled: string[]; untrue: string[]}) => {
		const write: SentWrite = {
			...told, mark: 'filing-1', sentAt: 0, answeredAt: 10,
		};
		const stored = ['filing-2', ...Array.from({length: rows}, () => 'filing-1')];
		expect(findLostOrDoubled([write], stored)).to.deep.equal(expected.lostOrDoubled);
		expect(findUntrueRefusals([write], stored)).to.deep.equal(expected.untrue);
	};

	const done: Told = {outcome: Outcome.Done};
	const refused: Told = {outcome: Outcome.NotRun, code: 'queue-full'};
	const unsure: Told = {outcome: Outcome.Unknown, code: 'owner-silent'};
	const left = 'filing-1 was left unsure (owner-silent), also when its outcome was asked for';

	it('takes an acknowledged filing that is there once', () => {
		doTest(done, 1, {lostOrDoubled: [], untrue: []});
	});

	it('finds an acknowledged filing that is not there', () => {
		doTest(done, 0, {lostOrDoubled: ['filing-1 was acknowledged and is not there'], untrue: []});
	});

	it('finds a filing that posted twice', () => {
		doTest(done, 2, {lostOrDoubled: ['filing-1 is there 2 times'], untrue: []});
	});

	it('takes a refused filing that is not there', () => {
		doTest(refused, 0, {lostOrDoubled: [], untrue: []});
	});

	it('finds a filing that was refused as not run and is there', () => {
		doTest(refused, 1, {lostOrDoubled: [], untrue: ['filing-1 was refused as not run (queue-full) and is there']});
	});

	it('finds a filing whose attorney was left unsure, whether it is there or not', () => {
		doTest(unsure, 0, {lostOrDoubled: [left], untrue: []});
		doTest(unsure, 1, {lostOrDoubled: [left], untrue: []});
	});
});
