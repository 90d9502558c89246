import {expect} from 'chai';
import type {EndpointLink, LinkListener} from '../../src/links/endpoint-link.js';
import {createEndpointPool} from '../../src/links/create-endpoint-pool.js';
import type {AcquireRequest, QueueRefusal} from '../../src/links/endpoint-pool.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {UrgencyOrder} from '../../src/scheduling/urgency-order.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

/** A request's outcome, with the time from its arrival to it. */
type Outcome = {readonly afterMs: number; readonly refusal?: QueueRefusal; readonly served: boolean};

/** Creates a scheduled pool whose limit is `limit.size`, to an endpoint where connections open in 12 ms; statements take as long as their callers say. */
function createBench(size: number) {
	const clock = createVirtualClock(0);
	const limit = {
		size, noteServed() {}, noteRejected() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	};
	const counts = {sleeps: 0};
	/** Resolves while the process runs: nothing goes on during a suspension, but the clock. */
	let running = Promise.resolve();
	const sleep: typeof clock.sleep = async (ms, signal) => {
		await clock.sleep(ms, signal);
		await running;
	};

	let listener: LinkListener | undefined;
	const pool = createEndpointPool({
		target: {address: '10.1.0.9:8080', group: 'stays', endpointId: 'i-1'},
		opener: {
			async open(_target, _timeoutMs, linkListener) {
				listener = linkListener;
				await clock.sleep(12);
				linkListener.onReceived();
				return {
					pending: 0, closed: false, cut() {}, close() {}, onClose() {}, // eslint-disable-line @typescript-eslint/no-empty-function
				} as unknown as EndpointLink;
			},
		},
		clock: {
			...clock,
			async sleep(ms, signal) {
				counts.sleeps++;
				return sleep(ms, signal);
			},
		},
		log: createSilentLog(),
		order: new UrgencyOrder(0.1),
		window: limit,
		getLimits: () => ({maxConnections: 56, hosts: 1, isPoolHost: true}),
		getMinPosition: () => undefined,
	});

	/** Runs a statement that takes `ms` once it has its connection. */
	const run = async (ms: number, request: Partial<AcquireRequest> = {}): Promise<Outcome> => {
		const arrivedAt = clock.now();
		let refusal: QueueRefusal | undefined;
		const sessionLink = await pool.acquire({
			priority: 1, until: arrivedAt + 400, startBy: arrivedAt + 300, values: new Map(), single: true, read: {}, ...request,
			onRefused(given) {
				refusal = given;
			},
		});
		const afterMs = clock.now() - arrivedAt;
		if (!sessionLink) {
			return {afterMs, refusal, served: false};
		}

		await sleep(ms);
		pool.release(sessionLink);
		return {afterMs, served: true};
	};

	/** Runs statements one after another on each place, so that their time is known. */
	const warmUp = async (ms: number) => {
		for (let i = 0; i < 30; i++) {
			await clock.runUntil(Promise.all(Array.from({length: limit.size}, async () => run(ms))));
		}
	};

	return {
		clock, limit, counts, pool, run, warmUp, getListener: () => listener!,
		/** Suspends the process; returns what resumes it. */
		suspend() {
			let resume!: () => void;
			running = new Promise(resolve => {
				resume = resolve;
			});
			return resume;
		},
	};
}

const fillWith = async (bench: ReturnType<typeof createBench>, count: number, ms: number, request?: Partial<AcquireRequest>) =>
	Promise.all(Array.from({length: count}, async () => bench.run(ms, request)));

describe('the scheduled queue of a pool', () => {
	/** Sixty statements of 20 ms arrive at once for two places and may wait for 400 ms. In order of arrival the last ones waited for all of it before their refusal. */
	it('refuses at once what would start too late, and starts what it accepts in time', async () => {
		const bench = createBench(2);
		await bench.warmUp(20);
		const outcomes = await bench.clock.runUntil(fillWith(bench, 60, 20));
		const refused = outcomes.filter(({served}) => !served);
		expect(refused.length).to.be.within(15, 30);
		// One request's turn falls on the very end of its time.
		const refusedAtOnce = refused.filter(({afterMs}) => afterMs <= 20);
		expect(refusedAtOnce.length).to.be.at.least(refused.length - 1);
		expect(refusedAtOnce.every(({refusal}) => refusal!.predictedWaitMs > 380)).to.equal(true);
	});

	/** All callers that are refused together would try again together, and the next overload would begin. */
	it('spaces the times at which refused callers try again, those of urgent ones first', async () => {
		const bench = createBench(2);
		await bench.warmUp(20);
		const later = fillWith(bench, 70, 20, {priority: 2});
		const urgent = fillWith(bench, 50, 20, {priority: 0});
		const getTimes = (outcomes: readonly Outcome[]) => outcomes.flatMap(({refusal}) => refusal?.retryAfterMs ?? []);
		const [laterTimes, urgentTimes] = [getTimes(await bench.clock.runUntil(later)), getTimes(await bench.clock.runUntil(urgent))];
		expect(urgentTimes.length).to.be.greaterThan(3);
		expect(new Set(urgentTimes).size).to.equal(urgentTimes.length);
		expect(new Set(laterTimes).size).to.be.greaterThan(laterTimes.length / 2);
		expect(Math.min(...urgentTimes)).to.be.lessThan(Math.min(...laterTimes) + 1);
	});

	it('refuses the least urgent of those that wait when urgent ones arrive', async () => {
		const bench = createBench(2);
		await bench.warmUp(20);
		const waiting = fillWith(bench, 30, 20, {priority: 2});
		await bench.clock.advance(1);
		const urgent = await bench.clock.runUntil(fillWith(bench, 20, 20, {priority: 0}));
		expect(urgent.every(({served}) => served)).to.equal(true);
		const outcomes = await bench.clock.runUntil(waiting);
		const refused = outcomes.filter(({served}) => !served);
		expect(refused.length).to.be.greaterThan(5);
		expect(refused.every(({refusal}) => refusal !== undefined)).to.equal(true);
	});

	/** The endpoint was slow for a while, so that every wait is predicted to be too long. Were requests refused beside a free place, its recovery would never be seen. */
	it('uses a free place whatever the prediction says', async () => {
		const bench = createBench(1);
		await bench.warmUp(600);
		expect(await bench.clock.runUntil(bench.run(5, {until: bench.clock.now() + 30}))).to.deep.equal({afterMs: 0, served: true});
	});

	/** Each waiter woke every 30 ms: sixty waiters cost 2,000 wakes a second. */
	it('has one timer, however many requests wait', async () => {
		const bench = createBench(1);
		await bench.warmUp(20);
		const long = bench.run(300);
		const waiting = fillWith(bench, 10, 20, {until: bench.clock.now() + 5000});
		const before = bench.counts.sleeps;
		await bench.clock.advance(290);
		expect(bench.counts.sleeps - before).to.be.at.most(30);
		await bench.clock.runUntil(Promise.all([long, waiting]));
	});

	/** A caller closed its connection while its request waited. Its request would take a place for nothing. */
	it('gives no place to a request whose caller has left', async () => {
		const bench = createBench(1);
		await bench.warmUp(20);
		const first = bench.run(50);
		let isWanted = true;
		const left = bench.run(100, {isWanted: () => isWanted});
		const next = bench.run(20);
		await bench.clock.advance(10);
		isWanted = false;
		expect(await bench.clock.runUntil(next)).to.deep.equal({afterMs: 50, served: true});
		expect(await bench.clock.runUntil(left)).to.include({served: false});
		await first;
	});

	/** The allocator of the endpoint's budget gives this host one place in place of six while its queue is long. */
	it('refuses what the remaining place cannot serve when the limit falls to 1', async () => {
		const bench = createBench(6);
		await bench.warmUp(20);
		const waiting = fillWith(bench, 80, 20);
		await bench.clock.advance(1);
		bench.limit.size = 1;
		await bench.clock.advance(100);
		expect(bench.pool.waiting).to.be.lessThan(20);
		const outcomes = await bench.clock.runUntil(waiting);
		expect(outcomes.filter(({served}) => served).length).to.be.greaterThan(15);
	});

	/** The endpoint stops answering with a full queue. Its successor may serve those that wait, so they must not wait for their whole time. */
	it('ends all waits once the endpoint is silent', async () => {
		const bench = createBench(1);
		await bench.warmUp(20);
		bench.getListener().onSent();
		void bench.run(60_000);
		const waiting = fillWith(bench, 10, 20, {until: bench.clock.now() + 10_000});
		const outcomes = await bench.clock.runUntil(waiting);
		expect(outcomes.every(({served, afterMs}) => !served && afterMs <= 750)).to.equal(true);
	});

	/** The process was suspended while requests waited. The answers that arrived meanwhile are read after the timer has fired, so the stall of that time says nothing of the endpoint. */
	it('judges by the time left, not by the stall, after a suspension', async () => {
		const bench = createBench(1);
		await bench.warmUp(20);
		const running = bench.run(50);
		const short = bench.run(20, {until: bench.clock.now() + 500});
		const long = bench.run(20, {until: bench.clock.now() + 1200});
		await bench.clock.advance(5);
		const resume = bench.suspend();
		await bench.clock.advance(1000);
		expect(bench.pool.waiting).to.equal(2);
		resume();
		await bench.clock.runUntil(running);
		expect(await bench.clock.runUntil(short)).to.include({served: false}).and.to.have.property('refusal').that.is.an('object');
		expect(await bench.clock.runUntil(long)).to.deep.equal({afterMs: 1005, served: true});
	});

	it('reports its load with the service time and the predicted wait', async () => {
		const bench = createBench(2);
		await bench.warmUp(20);
		expect(bench.pool.getLoad(bench.clock.now())).to.include({
			limit: 2, inFlight: 0, queued: 0, waitMs: 0,
		});
		const running = fillWith(bench, 8, 20);
		await bench.clock.advance(1);
		const load = bench.pool.getLoad(bench.clock.now());
		expect(load).to.include({inFlight: 2, queued: 6});
		expect(load.serviceMs).to.be.within(18, 22);
		expect(load.waitMs).to.be.within(40, 110);
		await bench.clock.runUntil(running);
	});
});
