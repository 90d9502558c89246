import {expect} from 'chai';
import {createBusyEndpoint} from '../../src/bench/workspace-links/busy-endpoint.js';
import {COMPETING_WORKSPACES, SILENT_CONNECTION_METRICS} from '../../src/bench/workspace-links/competing-workspaces.js';
import {simulatePoolHosts} from '../../src/bench/workspace-links/simulate-pool-hosts.js';
import type {CongestionWindow} from '../../src/links/congestion-window.js';
import {createEndpointPool} from '../../src/links/create-endpoint-pool.js';
import {ExpectedUsePolicy} from '../../src/links/expected-use-policy.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

/** Creates a pool with a share of 18 connections to an endpoint with four slots; `maxConnections` is the endpoint's real limit. */
function createBench(maxConnections = 56, window?: CongestionWindow) {
	const clock = createVirtualClock(undefined, {drainRounds: 1});
	const endpoint = createBusyEndpoint({
		clock, slots: 4, queue: 32, maxConnections, openMs: 12, oneWayMs: 0.5,
	});
	/** Causes of openings and evictions, in order. */
	const causes: string[] = [];
	const summaries: Array<Readonly<Record<string, unknown>>> = [];
	const count = (cause: string) => {
		causes.push(cause);
	};

	const pool = createEndpointPool({
		target: {address: '10.1.0.9:8080', group: 'nights', endpointId: 'i-1'},
		opener: endpoint.opener,
		clock,
		log: createSilentLog(),
		window,
		connections: new ExpectedUsePolicy({
			metrics: {...SILENT_CONNECTION_METRICS, countOpening: count, countEviction: count},
			onSummary: summary => summaries.push(summary),
		}),
		getLimits: () => ({maxConnections: 56, hosts: 3, isPoolHost: true}),
		getMinPosition: () => undefined,
	});
	const acquire = async (workspace: string, single = true) => pool.acquire({
		priority: 1, until: clock.now() + 800, values: new Map(), single, workspace,
	});
	/** Runs a statement; resolves with the time from its request to its answer, or with undefined where it got no connection. */
	const run = async (workspace: string, workMs = 18) => {
		const askedAt = clock.now();
		const sessionLink = await acquire(workspace);
		await sessionLink?.link.exchange({command: {kind: 'run', text: String(workMs)}});
		if (sessionLink) {
			pool.release(sessionLink);
		}

		return sessionLink && clock.now() - askedAt;
	};

	/** Runs statements of 11 workspaces one after another, `rounds` times. */
	const runOften = async (rounds: number) => {
		for (let i = 0; i < rounds * 11; i++) {
			await clock.runUntil(run(`often-${i % 11}`, 1));
		}
	};

	return {
		clock, endpoint, pool, causes, summaries, acquire, run, runOften,
	};
}

describe('connections that are kept by their expected use', () => {
	/**
	 * The load of 83 workspaces, the largest of which sends a quarter of it, at three quarters of what the endpoint can execute, and a pool host that loses power. By the longest idle time,
	 * connections are reopened for a quarter of the statements, and the successor's statements fail while the endpoint keeps the connections of the lost host.
	 */
	it('serve 83 workspaces without starving one, also after the loss of a pool host', async () => {
		const figures = await simulatePoolHosts({
			...COMPETING_WORKSPACES, statementsPerSecond: 120, seed: 7, createPolicy: () => new ExpectedUsePolicy({metrics: SILENT_CONNECTION_METRICS}),
		});
		expect(figures.openedPerStatement).to.be.at.most(0.24);
		expect(figures.failed).to.be.at.most(0.001);
		expect(figures.failedAfterLoss).to.be.at.most(0.01);
		expect(figures.p99Spread).to.be.at.most(3);
		expect(figures.rareP99Ms).to.be.at.most(400);
	});

	/** A burst of the busiest workspace found its connection in use, opened one for each statement and closed those of others, although its own was free again sooner. */
	it('are not opened where one of the workspace is released sooner', async () => {
		const bench = createBench();
		await bench.clock.runUntil(bench.run('north'));
		const times = await bench.clock.runUntil(Promise.all([bench.run('north', 10), bench.run('north', 10)]));
		expect([bench.endpoint.opened, times.every(ms => ms! < 40)]).to.deep.equal([1, true]);
	});

	/** Rarely used workspaces, each with a statement now and then, closed the connections of busy ones, which had to be reopened at once. */
	it('are used in turn by rarely used workspaces, which close none that is used ten times as often', async () => {
		const bench = createBench();
		await bench.runOften(40);
		const openedBefore = bench.endpoint.opened;
		for (let i = 0; i < 40; i++) {
			expect(await bench.clock.runUntil(bench.run(`rare-${i}`, 1))).to.be.lessThan(100);
			if (i % 10 === 9) {
				await bench.runOften(1);
			}
		}

		expect(bench.endpoint.opened - openedBefore).to.equal(40);
	});

	/** A connection was opened for a request that was served elsewhere in the meantime, and closed unused for another workspace, while that request's next attempt needed it. */
	it('are kept for their workspace until they have served a request', async () => {
		const bench = createBench();
		await bench.runOften(10);
		const withdrawn = bench.pool.acquire({
			priority: 1, until: bench.clock.now() + 5, values: new Map(), single: true, workspace: 'late',
		});
		expect(await bench.clock.runUntil(withdrawn)).to.equal(undefined);
		await bench.clock.advance(30);
		await bench.clock.runUntil(Promise.all(['a', 'b', 'c'].map(async workspace => bench.run(workspace, 1))));
		expect(await bench.clock.runUntil(bench.run('late', 1))).to.be.lessThan(3);
	});

	/** The endpoint's limit is reached, and this host's connections are idle: workspaces without one are served in their place, and the rejections are reported. */
	it('are closed for other workspaces once the endpoint has rejected one', async () => {
		const bench = createBench(6);
		await bench.clock.runUntil(Promise.all(['a', 'b', 'c', 'd', 'e', 'f'].map(async workspace => bench.run(workspace, 1))));
		const times = await bench.clock.runUntil(Promise.all(['g', 'h', 'i'].map(async workspace => bench.run(workspace, 1))));
		expect(times.every(ms => ms! < 200)).to.equal(true);
		expect(bench.endpoint.overCap).to.be.greaterThan(0);
		for (let i = 0; i < 2; i++) {
			bench.pool.maintain();
			await bench.clock.advance(10_000);
		}

		bench.pool.maintain();
		expect(bench.summaries).to.have.length(1);
		expect(bench.summaries[0]).to.include({requests: 9}).and.have.property('rejected').that.is.greaterThan(0);
	});

	/** Other hosts take each place at the endpoint that becomes free. Closing one connection after the other for openings that are rejected would leave this host with none. */
	it('are not closed one after the other while other hosts use up the endpoint\'s limit', async () => {
		const bench = createBench(6);
		await bench.clock.runUntil(Promise.all(['a', 'b', 'c', 'd', 'e', 'f'].map(async workspace => bench.run(workspace, 1))));
		for (let i = 0; i < 800; i++) {
			void bench.clock.sleep(i).then(async () => bench.endpoint.opener.open(bench.pool.target, 100, {onSent() {}, onReceived() {}, onAnswered() {}})).catch(() => undefined); // eslint-disable-line @typescript-eslint/no-empty-function
		}

		const waiting = Promise.all(['g', 'h', 'i'].map(async workspace => bench.run(workspace, 1)));
		await bench.clock.advance(500);
		expect(bench.pool.open).to.be.at.least(3);
		await bench.clock.runUntil(waiting);
	});

	/** A pool host restarts without connections while every workspace has a statement under way, of which none has a rate yet. */
	it('serve 83 workspaces that wait at once at a pool host that has restarted', async () => {
		const bench = createBench();
		const times = await bench.clock.runUntil(Promise.all(Array.from({length: 83}, async (_, i) => bench.run(`w${i}`))));
		expect(times.filter(ms => ms === undefined)).to.deep.equal([]);
		expect(bench.endpoint.opened).to.equal(83);
		expect(bench.endpoint.rejected + bench.endpoint.overCap).to.equal(0);
		// One beyond the share may be opened at a time, while no connection is idle.
		expect(bench.pool.open).to.be.at.most(18 + 1);
	});

	/** A reset connection that still counted as one in use would make the workspace's requests wait for its release until their deadline. */
	it('are reopened after a reset during a statement', async () => {
		const bench = createBench();
		const lost = await bench.clock.runUntil(bench.acquire('north'));
		lost!.link.cut();
		bench.pool.release(lost!);
		expect(await bench.clock.runUntil(bench.run('north', 1))).to.be.lessThan(20);
		expect(bench.causes).to.deep.equal(['first', 'reopened']);
	});

	/** The endpoint ended an idle connection while a request of its workspace waited for the concurrency limit; sent on that connection, the statement would be lost. */
	it('are not assigned to a waiting request once they were reset while idle', async () => {
		const bench = createBench(56, {size: 1, noteServed() {}, noteRejected() {}}); // eslint-disable-line @typescript-eslint/no-empty-function
		const idle = await bench.clock.runUntil(bench.acquire('north'));
		bench.pool.release(idle!);
		const south = await bench.clock.runUntil(bench.acquire('south'));
		const waiting = bench.acquire('north');
		idle!.link.cut();
		bench.pool.release(south!);
		const assigned = await bench.clock.runUntil(waiting);
		expect(assigned?.link.closed).to.equal(false);
	});

	/** A caller idles in a transaction for seconds; a statement of its workspace must not wait for that connection. */
	it('are opened beside one that is idle in a transaction', async () => {
		const bench = createBench();
		const held = await bench.clock.runUntil(bench.acquire('north', false));
		await bench.clock.advance(3000);
		expect(await bench.clock.runUntil(bench.run('north', 1))).to.be.lessThan(20);
		expect(bench.causes).to.deep.equal(['first', 'more']);
		bench.pool.release(held!);
	});
});
