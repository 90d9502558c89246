import {expect} from 'chai';
import type {AdmissionAnswer} from '../../src/admission/admission.js';
import {FixedLimit} from '../../src/admission/concurrency-limit.js';
import {createAdmission, type AdmissionOptions} from '../../src/admission/create-admission.js';
import type {WorkClass} from '../../src/groups/group-config.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const SHARES = {deadline: 0.5, interactive: 0.3, background: 0.1};

/** An admission with one slot, statements believed to take 5 ms, and a transcript of its answers. */
function createBench(options: Partial<AdmissionOptions> = {}) {
	const clock = createVirtualClock(0);
	const admission = createAdmission({
		endpoint: 'hall-a-1', slots: 1, owners: 1, limit: new FixedLimit(1), shares: SHARES, clock, ...options,
	});
	const lines: string[] = [];
	const running: Array<Extract<AdmissionAnswer, {admitted: true}>> = [];

	const enter = async (name: string, workClass: WorkClass, deadlineMs: number) => {
		const answer = await admission.enter({class: workClass, deadlineAt: clock.now() + deadlineMs}, clock.now());
		const text = answer.admitted ? 'runs' : `${answer.refusal.code}, back in ${answer.refusal.retryAfterMs}`;
		lines.push(`${clock.now()} ${name} ${text}`);
		if (answer.admitted) {
			running.push(answer);
		}

		return answer;
	};

	return {
		clock, admission, lines, running, enter,
		/** Sends a request and lets its answer settle, if it has one. */
		async send(name: string, workClass: WorkClass, deadlineMs: number) {
			void enter(name, workClass, deadlineMs);
			await clock.advance(0);
		},
		/** Gives back the slot taken first, `ms` from now. */
		async release(ms: number, served = true) {
			await clock.advance(ms);
			running.shift()!.release(clock.now(), served);
			await clock.advance(0);
		},
	};
}

describe('admission', () => {
	it('runs the earliest deadline of a class first', async () => {
		const bench = createBench();
		await bench.send('a', 'interactive', 1000);
		await bench.send('late', 'interactive', 900);
		await bench.send('early', 'interactive', 500);
		await bench.release(5);
		await bench.release(5);
		expect(bench.lines).to.deep.equal(['0 a runs', '5 early runs', '10 late runs']);
	});

	it('refuses at once what cannot be served in time, and tells when to come back', async () => {
		const bench = createBench();
		await bench.send('a', 'interactive', 1000);
		await bench.send('passed', 'interactive', 0);
		await bench.send('short', 'interactive', 8);
		await bench.send('short too', 'interactive', 8);
		expect(bench.lines).to.deep.equal([
			'0 a runs', '0 passed deadline-passed, back in 10', '0 short deadline-too-short, back in 15', '0 short too deadline-too-short, back in 20',
		]);
	});

	it('refuses when the queue of the class is full, and the other classes are not', async () => {
		const bench = createBench({maxQueued: 2});
		await bench.send('a', 'background', 1000);
		await bench.send('b', 'background', 1000);
		await bench.send('c', 'background', 1000);
		await bench.send('d', 'background', 1000);
		await bench.send('e', 'deadline', 1000);
		await bench.release(5);
		expect(bench.lines).to.deep.equal(['0 a runs', '0 d queue-full, back in 15', '5 e runs']);
	});

	// Story: a caller's request waits behind a statement that hangs. Its caller hears nothing until its own deadline,
	// though it was certain a while before that no answer would come in time, and comes back too late to meet a priority date.
	it('refuses what waits as soon as it cannot be served in time', async () => {
		const bench = createBench();
		await bench.send('a', 'interactive', 1000);
		await bench.send('waits', 'interactive', 100);
		await bench.clock.advance(200);
		expect(bench.lines).to.deep.equal(['0 a runs', '96 waits deadline-too-short, back in 33']);
	});

	// Story: a server goes silent. Those who come wait each for their whole deadline, since the queue still looks as fast
	// as it was when the server last answered.
	it('predicts longer waits while no slot is given back', async () => {
		const bench = createBench();
		await bench.send('a', 'interactive', 10_000);
		const waits: number[] = [];
		for (const ms of [0, 10, 20, 270]) {
			await bench.clock.advance(ms);
			waits.push(Math.round(bench.admission.getPredictedWaitMs('interactive', bench.clock.now())));
		}

		expect(waits).to.deep.equal([5, 5, 10, 100]);
		await bench.send('b', 'interactive', 90);
		expect(bench.lines[1]).to.equal('300 b deadline-too-short, back in 15');
	});

	// Story: a server was slow for a while and is fast again. If a free slot were refused for a short deadline, nothing would
	// run, nothing would be measured, and the endpoint would stay refused for ever.
	it('gives a free slot whatever it believes of the endpoint', async () => {
		const bench = createBench();
		await bench.send('a', 'interactive', 10_000);
		await bench.release(3000);
		await bench.send('b', 'interactive', 50);
		expect(bench.lines).to.deep.equal(['0 a runs', '3000 b runs']);
	});

	// Story: an owner's task gives its slot back in its own error path and again in a final step. Two others then run in one slot.
	it('takes a slot back once', async () => {
		const bench = createBench();
		await bench.send('a', 'interactive', 1000);
		await bench.send('b', 'interactive', 1000);
		await bench.send('c', 'interactive', 1000);
		const [first] = bench.running;
		first!.release(5, true);
		first!.release(5, true);
		await bench.clock.advance(0);
		expect(bench.lines).to.deep.equal(['0 a runs', '0 b runs']);
		expect(bench.admission.getLoad()).to.deep.equal({
			running: 1, limit: 1, queued: {deadline: 0, interactive: 1, background: 0}, serviceMs: 5,
		});
	});

	it('counts the time of a statement without an answer only where it is longer than was measured', async () => {
		const bench = createBench();
		const measured: number[] = [];
		for (const [ms, served] of [[10, true], [2, false], [40, false], [10, true]] as const) {
			await bench.send('a', 'interactive', 1000);
			await bench.release(ms, served);
			measured.push(Math.round(bench.admission.getLoad().serviceMs));
		}

		expect(measured).to.deep.equal([10, 10, 25, 20]);
	});

	it('refuses all that waits and all that comes once closed', async () => {
		const bench = createBench();
		await bench.send('a', 'interactive', 1000);
		await bench.send('b', 'background', 1000);
		bench.admission.close({
			code: 'host-leaving', reason: 'the host leaves', retryAfterMs: 0, facts: {},
		}, bench.clock.now());
		await bench.clock.advance(0);
		await bench.send('c', 'deadline', 1000);
		expect(bench.lines).to.deep.equal(['0 a runs', '0 b host-leaving, back in 0', '0 c host-leaving, back in 0']);
	});

	it('gives every input of a refusal as a fact', async () => {
		const bench = createBench();
		await bench.send('a', 'interactive', 1000);
		const answer = await bench.enter('b', 'interactive', 8);
		expect(answer.admitted ? undefined : answer.refusal).to.deep.equal({
			code: 'deadline-too-short',
			reason: 'hall-a-1 would need about 10 ms, and 8 ms are left',
			retryAfterMs: 2,
			facts: {
				endpoint: 'hall-a-1', class: 'interactive', remainingMs: 8, waitedMs: 0, predictedWaitMs: 5, serviceMs: 5, turnMs: 5,
				queued: 0, maxQueued: 10, running: 1, limit: 1, share: 0.3, stalledMs: 0,
			},
		});
	});
});
