import {expect} from 'chai';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {createDeadlineWatch} from '../../src/time/deadline-watch.js';

describe('deadline watch', () => {
	/** Each step: at which millisecond what is done with the watch; a number sets the deadline so many milliseconds on. */
	const doTest = (steps: ReadonlyArray<[number, number | 'clear' | 'stop']>, expected: string) => {
		it(`${steps.map(([at, step]) => `${at}: ${step}`).join(', ')} passes at ${expected || 'no time'}`, async () => {
			const clock = createVirtualClock(0);
			const passed: number[] = [];
			const watch = createDeadlineWatch(clock, () => {
				passed.push(clock.now());
			});
			for (const [at, step] of steps) {
				await clock.advance(at - clock.now());
				if (typeof step === 'number') {
					watch.set(clock.now() + step);
				} else {
					watch[step]();
				}
			}

			await clock.advance(1000);
			expect(passed.join(' ')).to.equal(expected);
		});
	};

	doTest([[0, 100]], '100');
	doTest([[0, 100], [50, 'clear']], '');
	doTest([[0, 100], [50, 'stop']], '');
	doTest([[0, 100], [50, 100]], '150');
	doTest([[0, 100], [10, 20]], '30');
	doTest([[0, 100], [50, 'clear'], [60, 10]], '70');
	doTest([[0, 100], [50, 'stop'], [60, 10], [200, 30]], '70 230');
});
