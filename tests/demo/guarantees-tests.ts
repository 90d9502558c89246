import {expect} from 'chai';
import {createGuarantees, Guarantee} from '../../src/demo/guarantees.js';
import {createDemoOutput} from '../../src/demo/demo-output.js';

function createRun() {
	const lines: string[] = [];
	const guarantees = createGuarantees(createDemoOutput({
		print(line) {
			lines.push(line.trim());
		},
	}));
	return {guarantees, lines};
}

const ALL = Object.values(Guarantee);

describe('the demo\'s guarantees', () => {
	const doTest = (run: {broken?: Guarantee; unchecked?: Guarantee}, exitCode: number, expected: string) => {
		const {guarantees, lines} = createRun();
		for (const guarantee of ALL.filter(one => one !== run.unchecked)) {
			guarantees.check(guarantee, guarantee === run.broken ? ['m-17 is there 2 times'] : [], 'as reported');
		}

		expect(guarantees.conclude()).to.equal(exitCode);
		expect(lines).to.include(expected);
	};

	it('ends with exit code 0 where every guarantee was kept', () => {
		doTest({}, 0, `kept   ${ALL.length} of ${ALL.length} promises in this run`);
	});

	for (const guarantee of ALL) {
		it(`ends with exit code 1 where this was broken: ${guarantee}`, () => {
			doTest({broken: guarantee}, 1, `BROKEN ${guarantee}: as reported`);
		});
	}

	it('ends with exit code 1 where a guarantee was not checked', () => {
		doTest({unchecked: Guarantee.FailoverEnds}, 1, `BROKEN ${Guarantee.FailoverEnds}: it was not checked`);
	});

	it('counts a guarantee as broken even if a later check of it passes', () => {
		const {guarantees} = createRun();
		guarantees.check(Guarantee.OnceOnly, ['m-17 was acknowledged and is not there'], 'first');
		for (const guarantee of ALL) {
			guarantees.check(guarantee, [], 'later');
		}

		expect(guarantees.conclude()).to.equal(1);
	});
});
