import {expect} from 'chai';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {createSystemClock} from '../../src/time/system-clock.js';
import type {Clock} from '../../src/time/clock.js';
import {createSleepAlarm} from '../../src/time/sleep-alarm.js';

const HOUR_MS = 3_600_000;

describe('sleep alarm', () => {
	function doTest(title: string, createClock: () => Clock) {
		it(`ends a sleep of one hour at once: ${title}`, async () => {
			const alarm = createSleepAlarm();
			const sleep = createClock().sleep(HOUR_MS, alarm);
			alarm.abort();
			await sleep;
			expect(alarm.aborted).to.equal(true);
		});

		it(`ends a later sleep at once: ${title}`, async () => {
			const alarm = createSleepAlarm();
			alarm.abort();
			await createClock().sleep(HOUR_MS, alarm);
		});
	}

	doTest('the system clock', createSystemClock);
	doTest('a virtual clock', () => createVirtualClock());

	it('calls each listener once, and none that was removed', () => {
		const alarm = createSleepAlarm();
		const called: string[] = [];
		const callRemoved = () => called.push('removed');
		const callKept = () => called.push('kept');
		alarm.addEventListener('abort', callRemoved);
		alarm.addEventListener('abort', callKept);
		alarm.removeEventListener('abort', callRemoved);
		alarm.abort();
		alarm.abort();
		expect(called).to.deep.equal(['kept']);
	});
});
