import {expect} from 'chai';
import {createCoordinatorBench} from './coordinator-bench.js';

/** Time after its announcement within which a leaving primary gets new work at most, in milliseconds. */
const DRAIN_MS = 7000;

describe('a failover coordinator that is stopped', () => {
	/** Guards against primaries that stay in use beyond their bound, because a stopping coordinator declines to replace them and keeps the failover lease. */
	it('does not keep other leaving primaries in use while it finishes a replacement', async () => {
		const bench = await createCoordinatorBench();
		await bench.clock.runUntil(bench.stop(bench.system.proxies.at(-1)!, true));
		await bench.drain('nights');
		const coordinator = await bench.waitForCoordinator('nights');
		await bench.clock.advance(200);
		void bench.stop(coordinator);
		const draining = await bench.drain('rosters');
		await bench.clock.advance(DRAIN_MS + 3000);
		expect(bench.getLastWorkMs(draining)).to.be.lessThan(DRAIN_MS);
		expect(await bench.waitForSuccessor('rosters', draining)).to.be.lessThan(DRAIN_MS + 4000);
	});

	/** Guards against a wait for the end of a lease whose holder has ended. */
	it('lets the next host replace a primary at once', async () => {
		const bench = await createCoordinatorBench();
		const first = await bench.drain('nights');
		const coordinator = await bench.waitForCoordinator('nights');
		await bench.waitForSuccessor('nights', first);
		const stopped = bench.stop(coordinator);
		await bench.clock.advance(100);
		const draining = await bench.drain('rosters');
		expect(await bench.waitForSuccessor('rosters', draining)).to.be.lessThan(3000);
		await bench.clock.runUntil(stopped);
	});

	/** Guards against a group that is left in change until its host's lease has expired and the change counts as stalled. */
	it('hands a replacement over that it cannot complete before its end', async () => {
		const bench = await createCoordinatorBench();
		await bench.clock.runUntil(bench.stop(bench.system.proxies.at(-1)!, true));
		const first = await bench.drain('nights');
		const coordinator = await bench.waitForCoordinator('nights');
		bench.system.setOrderFaults({maxDelayMs: 0, loseShare: 0, refusedFrom: coordinator.name});
		const stoppedAt = bench.clock.now();
		await bench.clock.runUntil(bench.stop(coordinator));
		const successor = await bench.waitForCoordinator('nights');
		expect([successor.name === coordinator.name, bench.clock.now() - stoppedAt < 6000]).to.deep.equal([false, true]);
		expect(await bench.waitForSuccessor('nights', first)).to.be.lessThan(13_000);
	});

	/** Guards against coordinators that are stopped one after the other, each of which keeps the next group waiting. */
	it('leaves no group without a coordinator where its successor is stopped as well', async () => {
		const bench = await createCoordinatorBench({groups: ['nights', 'rosters', 'bands']});
		await bench.clock.runUntil(bench.stop(bench.system.proxies.at(-1)!, true));
		await bench.drain('nights');
		const coordinator = await bench.waitForCoordinator('nights');
		void bench.stop(coordinator);
		const second = await bench.drain('rosters');
		const successor = await bench.waitForCoordinator('rosters');
		expect(successor.name).to.not.equal(coordinator.name);
		void bench.stop(successor);
		const third = await bench.drain('bands');
		await bench.waitForSuccessor('bands', third);
		expect([bench.getLastWorkMs(second) < DRAIN_MS, bench.getLastWorkMs(third) < DRAIN_MS]).to.deep.equal([true, true]);
	});

	/** Guards against a lost primary that nobody replaces, because stopping hosts leave it to a new one that may not replace primaries yet. */
	it('replaces a lost primary itself where no other host may', async () => {
		const bench = await createCoordinatorBench({proxies: 3});
		const old = [...bench.system.proxies];
		await bench.clock.runUntil(bench.startProxy('a new host'));
		const stops = old.map(async proxy => bench.stop(proxy, true));
		const lost = bench.system.groups[0]!.latestPrimary;
		bench.system.groups[0]!.crash(lost);
		const crashedAt = bench.clock.now();
		expect(await bench.waitForSuccessor('nights', {server: lost, since: crashedAt})).to.be.lessThan(5000);
		await bench.clock.runUntil(Promise.all(stops));
	});

	/** Guards against two holders where the release of the lease is not answered. */
	it('keeps the lease to its end where it does not reach the store', async () => {
		const bench = await createCoordinatorBench();
		const first = await bench.drain('nights');
		const coordinator = await bench.waitForCoordinator('nights');
		await bench.waitForSuccessor('nights', first);
		bench.system.store.setFaults(coordinator.name, {silent: true});
		const stopped = bench.stop(coordinator);
		const draining = await bench.drain('rosters');
		const tookMs = await bench.waitForSuccessor('rosters', draining);
		await bench.clock.runUntil(stopped);
		expect(tookMs).to.be.within(3000, 6000);
		const tokens = bench.system.orders.map(({token}) => token);
		expect(tokens).to.deep.equal(tokens.toSorted((left, right) => left - right));
	});
});

describe('a stopping host with another duty', () => {
	/** Guards against late news of a leaving primary, because the host that reads the store for all others ends just then. */
	it('does not delay the replacement of a primary where it reads the store for all', async () => {
		const bench = await createCoordinatorBench();
		const reader = bench.system.proxies.find(({kernel}) => kernel.getOrThrow('storeMirror').readsForAll)!;
		await bench.clock.runUntil(bench.stop(reader));
		const draining = await bench.drain('rosters');
		expect(await bench.waitForSuccessor('rosters', draining)).to.be.lessThan(3000);
	});
});

describe('a primary that is leaving', () => {
	const createBench = async () => createCoordinatorBench({groups: ['nights'], maxLeavingMs: DRAIN_MS});

	/** Guards against new work that an endpoint cuts off when it ends, because nobody could replace it in time. */
	it('gets no new work after its bound where it has no successor', async () => {
		const bench = await createBench();
		const [group] = bench.system.groups;
		for (const replica of group!.servers.slice(1)) {
			group!.crash(replica);
		}

		const draining = await bench.drain('nights');
		await bench.clock.advance(DRAIN_MS + 3000);
		expect(bench.getLastWorkMs(draining)).to.be.within(DRAIN_MS - 1500, DRAIN_MS);
	});

	/** Guards against new work at a leaving primary while the store is away and nothing can be replaced. */
	it('gets no new work after its bound where the store is away', async () => {
		const bench = await createBench();
		const draining = await bench.drain('nights');
		await bench.clock.advance(700);
		bench.system.store.setFaults(undefined, {silent: true});
		await bench.clock.advance(DRAIN_MS + 1000);
		expect(bench.getLastWorkMs(draining)).to.be.lessThan(DRAIN_MS);
	});

	/** Guards against a bound that counts anew at a host that was started after the announcement. */
	it('gets no new work from a host that has never seen it serve', async () => {
		const bench = await createBench();
		const [group] = bench.system.groups;
		for (const replica of group!.servers.slice(1)) {
			group!.crash(replica);
		}

		const draining = await bench.drain('nights');
		await bench.clock.advance(DRAIN_MS);
		await bench.startProxy('entry-9');
		await bench.clock.advance(5000);
		expect(bench.getLastWorkMs(draining)).to.be.lessThan(DRAIN_MS);
	});

	it('is in use again where it no longer leaves', async () => {
		const bench = await createBench();
		const [group] = bench.system.groups;
		for (const replica of group!.servers.slice(1)) {
			group!.crash(replica);
		}

		const draining = await bench.drain('nights');
		await bench.clock.advance(DRAIN_MS + 1000);
		draining.server.leaving = false;
		bench.system.registerEndpoints();
		await bench.clock.advance(2000);
		expect(bench.getLastWorkMs(draining)).to.be.greaterThan(DRAIN_MS + 1000);
	});
});
