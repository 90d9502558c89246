import {expect} from 'chai';
import {createPromises, Promised} from '../../src/demo/promises.js';
import {createStory} from '../../src/demo/story.js';

function createRun() {
	const lines: string[] = [];
	const promises = createPromises(createStory({
		print(line) {
			lines.push(line.trim());
		},
	}));
	return {promises, lines};
}

const ALL = Object.values(Promised);

describe('the demo\'s promises', () => {
	const doTest = (story: {broken?: Promised; left?: Promised}, exitCode: number, expected: string) => {
		const {promises, lines} = createRun();
		for (const promised of ALL.filter(one => one !== story.left)) {
			promises.check(promised, promised === story.broken ? ['m-17 is there 2 times'] : [], 'as told');
		}

		expect(promises.conclude()).to.equal(exitCode);
		expect(lines).to.include(expected);
	};

	it('ends with 0 where every promise was kept', () => {
		doTest({}, 0, `kept   ${ALL.length} of ${ALL.length} promises in this run`);
	});

	for (const promised of ALL) {
		it(`ends with 1 where this was broken: ${promised}`, () => {
			doTest({broken: promised}, 1, `BROKEN ${promised}: as told`);
		});
	}

	it('ends with 1 where a chapter ended before it judged', () => {
		doTest({left: Promised.FailoverEnds}, 1, `BROKEN ${Promised.FailoverEnds}: it was not checked`);
	});

	it('stays broken where a later chapter kept the promise', () => {
		const {promises} = createRun();
		promises.check(Promised.OnceOnly, ['m-17 was acknowledged and is not there'], 'first');
		for (const promised of ALL) {
			promises.check(promised, [], 'later');
		}

		expect(promises.conclude()).to.equal(1);
	});
});
