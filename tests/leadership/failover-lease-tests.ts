import {expect} from 'chai';
import {createFailoverLease, FAILOVER_LEASE_MS, type FailoverLease} from '../../src/leadership/failover-lease.js';
import {OrderOutcome} from '../../src/leadership/promotion-orders.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createStoreMirror, type StoreMirror} from '../../src/mirror/store-mirror.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createInMemoryMetadataStore, type InMemoryMetadataStore} from '../../src/stand-ins/metadata-store/in-memory-metadata-store.js';
import {createPeerNetwork} from '../../src/stand-ins/peers/in-memory-peers.js';
import {createVirtualClock, type VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

type Fixture = {
	readonly clock: VirtualClock;
	readonly store: InMemoryMetadataStore;
	create(hostName: string, incarnation: string): Promise<{readonly lease: FailoverLease; readonly mirror: StoreMirror}>;
	take(lease: FailoverLease): Promise<boolean>;
	confirm(mirror: StoreMirror): Promise<boolean>;
};

function createFixture(): Fixture {
	const clock = createVirtualClock();
	const store = createInMemoryMetadataStore(clock, createSeededRandom(1));
	const network = createPeerNetwork(clock);
	const elapsedClock = {elapsed: () => clock.now()};
	return {
		clock,
		store,
		async create(hostName, incarnation) {
			const ownPeerAddress = `${hostName}-${incarnation}:7000`;
			const mirror = createStoreMirror({
				store: store.getClient(hostName),
				peers: network.addHost(ownPeerAddress),
				clock,
				elapsedClock,
				log: createSilentLog(),
				host: {name: hostName, peerAddress: ownPeerAddress, availabilityZone: 'z'},
				seeds: [],
				getChanging: () => [],
				getUnfenced: () => [],
				noteUnfenced() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			});
			await clock.runUntil(mirror.confirm());
			const lease = createFailoverLease({
				store: store.getClient(hostName), mirror, elapsedClock, log: createSilentLog(), hostName, incarnation,
			});
			lease.getOtherHolder();
			return {lease, mirror};
		},
		take: async lease => clock.runUntil(lease.take()),
		confirm: async mirror => clock.runUntil(mirror.confirm()),
	};
}

describe('the failover lease', () => {
	it('is acquired at once if nobody holds it', async () => {
		const fixture = createFixture();
		const {lease} = await fixture.create('a', '1');
		expect([await fixture.take(lease), lease.getToken(100)]).to.deep.equal([true, 1]);
	});

	it('keeps its token while it is renewed', async () => {
		const fixture = createFixture();
		const {lease} = await fixture.create('a', '1');
		await fixture.take(lease);
		await fixture.clock.advance(FAILOVER_LEASE_MS - 500);
		await fixture.take(lease);
		await fixture.clock.advance(FAILOVER_LEASE_MS - 500);
		expect(lease.getToken(100)).to.equal(1);
	});

	it('gives no token for an order that may take longer than the lease lasts', async () => {
		const fixture = createFixture();
		const {lease} = await fixture.create('a', '1');
		await fixture.take(lease);
		await fixture.clock.advance(FAILOVER_LEASE_MS - 500);
		expect([lease.getToken(400), lease.getToken(600)]).to.deep.equal([1, undefined]);
	});

	/** Two hosts that order promotions at the same time could each promote a different endpoint. */
	it('is not acquired by another host before it has ended, and then has a higher token', async () => {
		const fixture = createFixture();
		const first = await fixture.create('a', '1');
		const second = await fixture.create('b', '1');
		await fixture.take(first.lease);
		await fixture.clock.runUntil(second.mirror.confirm());
		expect([await fixture.take(second.lease), second.lease.getOtherHolder()]).to.deep.equal([false, 'a']);
		await fixture.clock.advance(FAILOVER_LEASE_MS);
		expect(await fixture.take(second.lease)).to.equal(false);
		await fixture.clock.advance(300);
		expect([first.lease.getToken(1), await fixture.take(second.lease), second.lease.getToken(100)]).to.deep.equal([undefined, true, 2]);
	});

	/** An order of a killed process may be in progress, so the process that is started in its place is another holder. */
	it('is not acquired by the restarted holder before it has ended', async () => {
		const fixture = createFixture();
		const first = await fixture.create('a', '1');
		await fixture.take(first.lease);
		const restarted = await fixture.create('a', '2');
		expect(await fixture.take(restarted.lease)).to.equal(false);
	});

	it('is not held if the update got no response', async () => {
		const fixture = createFixture();
		const {lease} = await fixture.create('a', '1');
		fixture.store.setFaults('a', {loseShare: 1});
		expect([await fixture.take(lease), lease.getToken(100)]).to.deep.equal([false, undefined]);
	});

	/** There would be two holders at once: the store has lost the record of the first, whose lease is still running. */
	it('is not acquired from a restored store that lacks its record before it has ended', async () => {
		const fixture = createFixture();
		const first = await fixture.create('a', '1');
		const second = await fixture.create('b', '1');
		const backup = fixture.store.takeBackup();
		await fixture.take(first.lease);
		fixture.store.restore(backup);
		await fixture.confirm(second.mirror);
		expect([await fixture.take(second.lease), first.lease.getToken(100) !== undefined]).to.deep.equal([false, true]);
		await fixture.clock.advance(FAILOVER_LEASE_MS + 300);
		expect([await fixture.take(second.lease), first.lease.getToken(1)]).to.deep.equal([true, undefined]);
	});

	/** A host finds its own earlier record in a restored store, although another host has acquired the lease since. */
	it('is not renewed from a restored earlier record while another host holds it', async () => {
		const fixture = createFixture();
		const first = await fixture.create('a', '1');
		await fixture.take(first.lease);
		const backup = fixture.store.takeBackup();
		const second = await fixture.create('b', '1');
		await fixture.clock.advance(FAILOVER_LEASE_MS + 300);
		await fixture.take(second.lease);
		fixture.store.restore(backup);
		await fixture.confirm(first.mirror);
		expect([await fixture.take(first.lease), second.lease.getToken(100) !== undefined]).to.deep.equal([false, true]);
	});

	/** Two holders would share a token, or it would decrease: the platform compares tokens, and the store has lost the last one. */
	it('has a higher token after a store restore than any before', async () => {
		const fixture = createFixture();
		const first = await fixture.create('a', '1');
		const backup = fixture.store.takeBackup();
		await fixture.take(first.lease);
		const before = first.lease.getToken(100)!;
		fixture.store.restore(backup);
		const second = await fixture.create('b', '1');
		await fixture.clock.advance(FAILOVER_LEASE_MS + 300);
		expect(await fixture.take(second.lease)).to.equal(true);
		expect(second.lease.getToken(100)).to.be.greaterThan(before);
	});

	it('is renewed by its holder in a restored store', async () => {
		const fixture = createFixture();
		const {lease, mirror} = await fixture.create('a', '1');
		await fixture.take(lease);
		const backup = fixture.store.takeBackup();
		await fixture.clock.advance(1000);
		fixture.store.restore(backup);
		await fixture.confirm(mirror);
		expect([await fixture.take(lease), lease.getToken(FAILOVER_LEASE_MS - 200)]).to.deep.equal([true, 1]);
	});

	/** The host read the store before its restore, but its update was done afterwards, when the lease of another holder may be running. */
	it('is not held if the store was restored before the update was done', async () => {
		const fixture = createFixture();
		const {lease} = await fixture.create('a', '1');
		fixture.store.restore(fixture.store.takeBackup());
		expect([await fixture.take(lease), lease.getToken(100)]).to.deep.equal([false, undefined]);
	});

	/** Guards against a wait for the end of a lease that its holder no longer needs. */
	it('is acquired at once by another host once it is released, with a higher token', async () => {
		const fixture = createFixture();
		const first = await fixture.create('a', '1');
		const second = await fixture.create('b', '1');
		await fixture.take(first.lease);
		expect(await fixture.clock.runUntil(first.lease.release())).to.equal(true);
		await fixture.confirm(second.mirror);
		expect([second.lease.getOtherHolder(), second.lease.wasReleasedBy('a'), first.lease.getToken(1)]).to.deep.equal([undefined, true, undefined]);
		expect([await fixture.take(second.lease), second.lease.getToken(100), second.lease.wasReleasedBy('a')]).to.deep.equal([true, 2, false]);
	});

	/** Guards against an order of the former holder that is carried out after one of the next holder. */
	it('is not released while an order is in flight, or after one that got no response', async () => {
		const fixture = createFixture();
		const {lease} = await fixture.create('a', '1');
		await fixture.take(lease);
		let answer!: (outcome: OrderOutcome) => void;
		const ordered = lease.giveOrder(600, async () => new Promise(resolve => {
			answer = resolve;
		}));
		expect(await fixture.clock.runUntil(lease.release())).to.equal(false);
		answer(OrderOutcome.Unknown);
		await ordered;
		expect([await fixture.clock.runUntil(lease.release()), lease.getToken(100)]).to.deep.equal([false, 1]);
	});

	it('is released once its order was answered', async () => {
		const fixture = createFixture();
		const {lease} = await fixture.create('a', '1');
		await fixture.take(lease);
		await lease.giveOrder(600, async () => OrderOutcome.Accepted);
		expect(await fixture.clock.runUntil(lease.release())).to.equal(true);
	});

	/** Guards against two holders: the response to a renewal arrives after the release, when another host may hold the lease. */
	it('is not held after its release by a renewal that was sent before', async () => {
		const fixture = createFixture();
		const {lease} = await fixture.create('a', '1');
		await fixture.take(lease);
		const renewed = lease.take();
		const released = lease.release();
		expect([await fixture.clock.runUntil(renewed), await fixture.clock.runUntil(released), lease.getToken(1)]).to.deep.equal([false, true, undefined]);
		const second = await fixture.create('b', '1');
		expect(await fixture.take(second.lease)).to.equal(true);
	});

	/** Guards against an order under a lease whose release the store has executed without a response. */
	it('gives no token once its release was requested, whether or not that is known to be stored', async () => {
		const fixture = createFixture();
		const {lease} = await fixture.create('a', '1');
		await fixture.take(lease);
		fixture.store.setFaults('a', {silent: true});
		const released = lease.release();
		expect(lease.getToken(1)).to.equal(undefined);
		expect(await fixture.clock.runUntil(released)).to.equal(false);
	});

	it('is known to be released where the response was lost', async () => {
		const fixture = createFixture();
		const {lease} = await fixture.create('a', '1');
		await fixture.take(lease);
		fixture.store.setFaults('a', {loseShare: 1});
		expect([await fixture.clock.runUntil(lease.release()), lease.wasReleasedBy('a')]).to.deep.equal([true, true]);
	});

	it('is neither acquired nor used for an order once it is closed, and can still be released', async () => {
		const fixture = createFixture();
		const {lease} = await fixture.create('a', '1');
		await fixture.take(lease);
		lease.close();
		expect([await fixture.take(lease), lease.getToken(1), await fixture.clock.runUntil(lease.release())]).to.deep.equal([false, undefined, true]);
	});

	/** Guards against two holders: the backup contains a release, and another host has acquired the lease since. */
	it('is not acquired from a restored record of its release while another host holds it', async () => {
		const fixture = createFixture();
		const first = await fixture.create('a', '1');
		const second = await fixture.create('b', '1');
		await fixture.take(first.lease);
		await fixture.clock.runUntil(first.lease.release());
		const backup = fixture.store.takeBackup();
		await fixture.confirm(second.mirror);
		await fixture.take(second.lease);
		fixture.store.restore(backup);
		await fixture.confirm(first.mirror);
		expect([await fixture.take(first.lease), second.lease.getToken(100) !== undefined]).to.deep.equal([false, true]);
	});
});
