import {expect} from 'chai';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {createSystemClock} from '../../src/time/system-clock.js';
import type {Clock} from '../../src/time/clock.js';
import {createSleepAlarm} from '../../src/time/sleep-alarm.js';

const HOUR_MS = 3_600_000;

describe('an alarm that ends sleeps early', () => {
	function doTest(title: string, createClock: () => Clock) {
		it(`ends a sleep of an hour at once: ${title}`, async () => {
			const alarm = createSleepAlarm();
			const sleep = createClock().sleep(HOUR_MS, alarm);
			alarm.abort();
			await sleep;
			expect(alarm.aborted).to.equal(true);
		});

		it(`lets nobody sleep that comes after it: ${title}`, async () => {
			const alarm = createSleepAlarm();
			alarm.abort();
			await createClock().sleep(HOUR_MS, alarm);
		});
	}

	doTest('the system clock', createSystemClock);
	doTest('a virtual clock', () => createVirtualClock());

	it('tells each listener once, and none that was taken away', () => {
		const alarm = createSleepAlarm();
		const told: string[] = [];
		const tellLeft = () => told.push('left');
		const tellStayed = () => told.push('stayed');
		alarm.addEventListener('abort', tellLeft);
		alarm.addEventListener('abort', tellStayed);
		alarm.removeEventListener('abort', tellLeft);
		alarm.abort();
		alarm.abort();
		expect(told).to.deep.equal(['stayed']);
	});
});
