import {expect} from 'chai';
import type {AdmissionAnswer} from '../../src/admission/admission.js';
import {createAdmission, type AdmissionOptions} from '../../src/admission/create-admission.js';
import {FixedLimit} from '../../src/admission/concurrency-limit.js';
import type {WorkClass} from '../../src/groups/group-config.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const SHARES = {deadline: 0.5, interactive: 0.3, background: 0.1};

function createBench(options: Partial<AdmissionOptions> = {}) {
	const clock = createVirtualClock();
	const admission = createAdmission({
		endpoint: 'hall-a-1',
		slots: 1,
		shares: SHARES,
		clock,
		owners: 1,
		limit: new FixedLimit(1),
		...options,
	});
	const lines: string[] = [];
	const running: Array<Extract<AdmissionAnswer, {admitted: true}>> = [];
	const start = clock.now();

	const enter = async (name: string, workClass: WorkClass, deadlineMs: number) => {
		const answer = await admission.enter({class: workClass, deadlineAt: clock.now() + deadlineMs}, clock.now());
		lines.push(`${clock.now() - start} ${name} ${answer.admitted ? 'runs' : answer.refusal.code}`);
		if (answer.admitted) {
			running.push(answer);
		}
	};

	return {
		clock, admission, lines, running,
		/** Sends a request and does not wait for its answer. */
		send(name: string, workClass: WorkClass, deadlineMs: number) {
			void enter(name, workClass, deadlineMs);
		},
		release() {
			running.shift()!.release(clock.now(), true);
		},
	};
}

describe('admission', () => {
	it('runs the earliest deadline of a class first', async () => {
		const bench = createBench();
		bench.send('a', 'interactive', 1000);
		bench.send('late', 'interactive', 900);
		bench.send('early', 'interactive', 500);
		await bench.clock.advance(5);
		bench.release();
		await bench.clock.advance(5);
		bench.release();
		await bench.clock.advance(5);
		expect(bench.lines).to.deep.equal(['0 a runs', '5 early runs', '10 late runs']);
	});

	it('refuses at once what cannot be served in time, and what waits once it cannot', async () => {
		const bench = createBench();
		bench.send('a', 'interactive', 1000);
		bench.send('short', 'interactive', 8);
		bench.send('passed', 'interactive', 0);
		bench.send('waits', 'interactive', 100);
		await bench.clock.advance(200);
		expect(bench.lines).to.deep.equal(['0 a runs', '0 short deadline-too-short', '0 passed deadline-passed', '96 waits deadline-too-short']);
	});

	it('refuses all that waits and all that comes once closed', async () => {
		const bench = createBench();
		bench.send('a', 'interactive', 1000);
		bench.send('b', 'background', 1000);
		await bench.clock.advance(1);
		bench.admission.close({code: 'host-leaving', reason: 'the host leaves', facts: {}}, bench.clock.now());
		await bench.clock.advance(0);
		bench.send('c', 'deadline', 1000);
		await bench.clock.advance(1);
		expect(bench.lines).to.deep.equal(['0 a runs', '1 b host-leaving', '1 c host-leaving']);
	});
});
