import {expect} from 'chai';
import {createDutyLease, DUTY_LEASE_MS, type DutyLease} from '../../src/leadership/duty-lease.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createStoreMirror, type StoreMirror} from '../../src/mirror/store-mirror.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createInMemoryMetadataStore, type InMemoryMetadataStore} from '../../src/stand-ins/metadata-store/in-memory-metadata-store.js';
import {createPeerNetwork} from '../../src/stand-ins/peers/in-memory-peers.js';
import {createVirtualClock, type VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

type Bench = {
	readonly clock: VirtualClock;
	readonly store: InMemoryMetadataStore;
	create(hostName: string, incarnation: string): Promise<{readonly duty: DutyLease; readonly mirror: StoreMirror}>;
	take(duty: DutyLease): Promise<boolean>;
	confirm(mirror: StoreMirror): Promise<boolean>;
};

function createBench(): Bench {
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
			const duty = createDutyLease({
				store: store.getClient(hostName), mirror, elapsedClock, log: createSilentLog(), hostName, incarnation,
			});
			duty.getOtherHolder();
			return {duty, mirror};
		},
		take: async duty => clock.runUntil(duty.take()),
		confirm: async mirror => clock.runUntil(mirror.confirm()),
	};
}

describe('the duty to have primaries replaced', () => {
	it('is taken at once where nobody holds it', async () => {
		const bench = createBench();
		const {duty} = await bench.create('a', '1');
		expect([await bench.take(duty), duty.getToken(100)]).to.deep.equal([true, 1]);
	});

	it('keeps its token while it is renewed', async () => {
		const bench = createBench();
		const {duty} = await bench.create('a', '1');
		await bench.take(duty);
		await bench.clock.advance(DUTY_LEASE_MS - 500);
		await bench.take(duty);
		await bench.clock.advance(DUTY_LEASE_MS - 500);
		expect(duty.getToken(100)).to.equal(1);
	});

	it('gives no token for an order that may outlast it', async () => {
		const bench = createBench();
		const {duty} = await bench.create('a', '1');
		await bench.take(duty);
		await bench.clock.advance(DUTY_LEASE_MS - 500);
		expect([duty.getToken(400), duty.getToken(600)]).to.deep.equal([1, undefined]);
	});

	/** Two hosts that ordered promotions at the same time could each promote another endpoint. */
	it('is not taken from a holder before it has ended, and then with a higher token', async () => {
		const bench = createBench();
		const first = await bench.create('a', '1');
		const second = await bench.create('b', '1');
		await bench.take(first.duty);
		await bench.clock.runUntil(second.mirror.confirm());
		expect([await bench.take(second.duty), second.duty.getOtherHolder()]).to.deep.equal([false, 'a']);
		await bench.clock.advance(DUTY_LEASE_MS);
		expect(await bench.take(second.duty)).to.equal(false);
		await bench.clock.advance(300);
		expect([first.duty.getToken(1), await bench.take(second.duty), second.duty.getToken(100)]).to.deep.equal([undefined, true, 2]);
	});

	/** A process that was killed may have an order under way; the one that is started in its place is another holder. */
	it('is not taken over by a restarted host before it has ended', async () => {
		const bench = createBench();
		const first = await bench.create('a', '1');
		await bench.take(first.duty);
		const restarted = await bench.create('a', '2');
		expect(await bench.take(restarted.duty)).to.equal(false);
	});

	it('is not held where the update brought no answer', async () => {
		const bench = createBench();
		const {duty} = await bench.create('a', '1');
		bench.store.setTrouble('a', {loseShare: 1});
		expect([await bench.take(duty), duty.getToken(100)]).to.deep.equal([false, undefined]);
	});

	/** Guards against two holders at once: the store has lost the record of the first, whose duty lasts. */
	it('is not taken from a store that came back without its record before it has ended', async () => {
		const bench = createBench();
		const first = await bench.create('a', '1');
		const second = await bench.create('b', '1');
		const copy = bench.store.takeCopy();
		await bench.take(first.duty);
		bench.store.restore(copy);
		await bench.confirm(second.mirror);
		expect([await bench.take(second.duty), first.duty.getToken(100) !== undefined]).to.deep.equal([false, true]);
		await bench.clock.advance(DUTY_LEASE_MS + 300);
		expect([await bench.take(second.duty), first.duty.getToken(1)]).to.deep.equal([true, undefined]);
	});

	/** Guards against a host that finds its own earlier duty in a restored store, though another host has taken it since. */
	it('is not held again by the record of before while another holds it', async () => {
		const bench = createBench();
		const first = await bench.create('a', '1');
		await bench.take(first.duty);
		const copy = bench.store.takeCopy();
		const second = await bench.create('b', '1');
		await bench.clock.advance(DUTY_LEASE_MS + 300);
		await bench.take(second.duty);
		bench.store.restore(copy);
		await bench.confirm(first.mirror);
		expect([await bench.take(first.duty), second.duty.getToken(100) !== undefined]).to.deep.equal([false, true]);
	});

	/** Guards against a token that two holders share, or that falls: the platform orders by it, and the store has lost the last one. */
	it('has a higher token after a return than any before it', async () => {
		const bench = createBench();
		const first = await bench.create('a', '1');
		const copy = bench.store.takeCopy();
		await bench.take(first.duty);
		const before = first.duty.getToken(100)!;
		bench.store.restore(copy);
		const second = await bench.create('b', '1');
		await bench.clock.advance(DUTY_LEASE_MS + 300);
		expect(await bench.take(second.duty)).to.equal(true);
		expect(second.duty.getToken(100)).to.be.greaterThan(before);
	});

	it('is renewed by its holder in a store that came back', async () => {
		const bench = createBench();
		const {duty, mirror} = await bench.create('a', '1');
		await bench.take(duty);
		const copy = bench.store.takeCopy();
		await bench.clock.advance(1000);
		bench.store.restore(copy);
		await bench.confirm(mirror);
		expect([await bench.take(duty), duty.getToken(DUTY_LEASE_MS - 200)]).to.deep.equal([true, 1]);
	});

	/** Guards against a duty taken from the store of before: the update was done in the one that came back, where another's lease may run. */
	it('is not held where the store came back before the update was done', async () => {
		const bench = createBench();
		const {duty} = await bench.create('a', '1');
		bench.store.restore(bench.store.takeCopy());
		expect([await bench.take(duty), duty.getToken(100)]).to.deep.equal([false, undefined]);
	});
});
