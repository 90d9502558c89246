import {expect} from 'chai';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {createDeadlineTimer} from '../../src/time/deadline-timer.js';

describe('deadline timer', () => {
	/** Each step: the time in milliseconds and what is done with the timer then; a number sets the deadline that many milliseconds later. */
	const doTest = (steps: ReadonlyArray<[number, number | 'clear' | 'stop']>, expected: string) => {
		it(`${steps.map(([at, step]) => `${at}: ${step}`).join(', ')} passes at ${expected || 'no time'}`, async () => {
			const clock = createVirtualClock(0);
			const passed: number[] = [];
			const timer = createDeadlineTimer(clock, () => {
				passed.push(clock.now());
			});
			for (const [at, step] of steps) {
				await clock.advance(at - clock.now());
				if (typeof step === 'number') {
					timer.set(clock.now() + step);
				} else {
					timer[step]();
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
