import {expect} from 'chai';
import type {AdmissionResult} from '../../src/admission/admission.js';
import {FixedLimit} from '../../src/admission/concurrency-limit.js';
import {createAdmission, type AdmissionOptions} from '../../src/admission/create-admission.js';
import type {WorkClass} from '../../src/groups/group-config.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const SHARES = {deadline: 0.5, interactive: 0.3, background: 0.1};

/** Creates an admission with one slot and an initial statement time of 5 ms, and a transcript of its answers. */
function createBench(options: Partial<AdmissionOptions> = {}) {
	const clock = createVirtualClock(0);
	const admission = createAdmission({
		endpoint: 'hall-a-1', slots: 1, owners: 1, limit: new FixedLimit(1), shares: SHARES, clock, ...options,
	});
	const lines: string[] = [];
	const running: Array<Extract<AdmissionResult, {admitted: true}>> = [];

	const enter = async (name: string, workClass: WorkClass, deadlineMs: number) => {
		const answer = await admission.acquire({class: workClass, deadlineAt: clock.now() + deadlineMs}, clock.now());
		const text = answer.admitted ? 'runs' : `${answer.refusal.code}, retry after ${answer.refusal.retryAfterMs}`;
		lines.push(`${clock.now()} ${name} ${text}`);
		if (answer.admitted) {
			running.push(answer);
		}

		return answer;
	};

	return {
		clock, admission, lines, running, enter,
		/** Sends a request and waits for its answer to be recorded, if it has one. */
		async send(name: string, workClass: WorkClass, deadlineMs: number) {
			void enter(name, workClass, deadlineMs);
			await clock.advance(0);
		},
		/** Releases the slot that was granted first, `ms` from now. */
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

	it('refuses at once what cannot be served in time, with retry delays', async () => {
		const bench = createBench();
		await bench.send('a', 'interactive', 1000);
		await bench.send('passed', 'interactive', 0);
		await bench.send('short', 'interactive', 8);
		await bench.send('short too', 'interactive', 8);
		expect(bench.lines).to.deep.equal([
			'0 a runs', '0 passed deadline-passed, retry after 10', '0 short deadline-too-short, retry after 15', '0 short too deadline-too-short, retry after 20',
		]);
	});

	it('refuses a class whose queue is full, and no other class', async () => {
		const bench = createBench({maxQueued: 2});
		await bench.send('a', 'background', 1000);
		await bench.send('b', 'background', 1000);
		await bench.send('c', 'background', 1000);
		await bench.send('d', 'background', 1000);
		await bench.send('e', 'deadline', 1000);
		await bench.release(5);
		expect(bench.lines).to.deep.equal(['0 a runs', '0 d queue-full, retry after 15', '5 e runs']);
	});

	// Guards against late refusals: a request waits behind a statement that hangs, and its caller would get no answer until the
	// deadline, too late to try again, though it was certain before that no answer would come in time.
	it('refuses a waiting request as soon as it cannot be served in time', async () => {
		const bench = createBench();
		await bench.send('a', 'interactive', 1000);
		await bench.send('waits', 'interactive', 100);
		await bench.clock.advance(200);
		expect(bench.lines).to.deep.equal(['0 a runs', '96 waits deadline-too-short, retry after 33']);
	});

	// Guards against stale predictions: when a server stops answering, each new request would wait until its deadline, since
	// predictions would keep the speed at which the server last answered.
	it('predicts longer waits while no slot is released', async () => {
		const bench = createBench();
		await bench.send('a', 'interactive', 10_000);
		const waits: number[] = [];
		for (const ms of [0, 10, 20, 270]) {
			await bench.clock.advance(ms);
			waits.push(Math.round(bench.admission.getPredictedWaitMs('interactive', bench.clock.now())));
		}

		expect(waits).to.deep.equal([5, 5, 10, 100]);
		await bench.send('b', 'interactive', 90);
		expect(bench.lines[1]).to.equal('300 b deadline-too-short, retry after 15');
	});

	// A server was slow for a while and is fast again. If a request with a short deadline were refused a free slot, no statement
	// would run, nothing would be measured, and requests would be refused for ever.
	it('grants a free slot however slow the endpoint was', async () => {
		const bench = createBench();
		await bench.send('a', 'interactive', 10_000);
		await bench.release(3000);
		await bench.send('b', 'interactive', 50);
		expect(bench.lines).to.deep.equal(['0 a runs', '3000 b runs']);
	});

	// Guards against a double release, in an owner's error path and again in its final step: two others would then run in one slot.
	it('releases a slot only once', async () => {
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

	it('counts the time of an unanswered statement only where it is longer than the mean', async () => {
		const bench = createBench();
		const measured: number[] = [];
		for (const [ms, served] of [[10, true], [2, false], [40, false], [10, true]] as const) {
			await bench.send('a', 'interactive', 1000);
			await bench.release(ms, served);
			measured.push(Math.round(bench.admission.getLoad().serviceMs));
		}

		expect(measured).to.deep.equal([10, 10, 25, 20]);
	});

	it('refuses all waiting and all later requests once closed', async () => {
		const bench = createBench();
		await bench.send('a', 'interactive', 1000);
		await bench.send('b', 'background', 1000);
		bench.admission.close({
			code: 'host-leaving', reason: 'the host leaves', retryAfterMs: 0, facts: {},
		}, bench.clock.now());
		await bench.clock.advance(0);
		await bench.send('c', 'deadline', 1000);
		expect(bench.lines).to.deep.equal(['0 a runs', '0 b host-leaving, retry after 0', '0 c host-leaving, retry after 0']);
	});

	it('records every input of a refusal as a fact', async () => {
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
