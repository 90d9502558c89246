import {expect} from 'chai';
import {createSilentLog} from '../../src/log/silent-log.js';
import {RecordKind} from '../../src/mirror/metadata-store.js';
import {createStoreMirror} from '../../src/mirror/store-mirror.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createInMemoryMetadataStore} from '../../src/stand-ins/metadata-store/in-memory-metadata-store.js';
import {createPeerNetwork} from '../../src/stand-ins/peers/in-memory-peers.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

/** Creates three registered hosts that mirror one store; `changing` holds the groups that each is changing. */
async function createBench() {
	const clock = createVirtualClock();
	const startedAt = clock.now();
	const store = createInMemoryMetadataStore(clock, createSeededRandom(1));
	const network = createPeerNetwork(clock);
	const changing = new Map<string, readonly string[]>();
	const elapsedClock = {elapsed: () => clock.now() - startedAt};
	const create = (name: string) => createStoreMirror({
		store: store.getClient(name),
		peers: network.addHost(`${name}:7000`),
		clock,
		elapsedClock,
		log: createSilentLog(),
		host: {name, peerAddress: `${name}:7000`, availabilityZone: 'z'},
		seeds: ['a:7000', 'b:7000', 'c:7000'],
		getChanging: () => changing.get(name) ?? [],
		getUnfenced: () => [],
		noteUnfenced() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	});
	const mirrors = {a: create('a'), b: create('b'), c: create('c')};
	const register = async (name: string) => clock.runUntil(store.getClient(name).putRecord(RecordKind.Hosts, {
		name, version: 0, value: {name, peerAddress: `${name}:7000`, availabilityZone: 'z'},
	}, 900));
	for (const [name, mirror] of Object.entries(mirrors)) {
		await register(name);
		await clock.runUntil(mirror.confirm());
	}

	const confirm = async (name: keyof typeof mirrors) => clock.runUntil(mirrors[name].confirm());
	await confirm('a');
	await confirm('b');
	return {
		clock, store, network, mirrors, changing, elapsedClock, confirm, register,
	};
}

describe('the copy of the store', () => {
	/**
	 * The store is slow, and a primary may be replaced between its read and the arrival of the response. A copy whose confirmation were dated by the response would be
	 * relied on for longer than the replacement of the primary waits.
	 */
	it('is confirmed as of the request, not of the response', async () => {
		const {store, confirm, mirrors, elapsedClock} = await createBench();
		store.setFaults(undefined, {responseMs: 200});
		const askedAt = elapsedClock.elapsed();
		expect(await confirm('a')).to.equal(true);
		expect([mirrors.a.routingConfirmedAt, elapsedClock.elapsed() >= askedAt + 200]).to.deep.equal([askedAt, true]);
	});

	it('applies changes', async () => {
		const {confirm, mirrors, register} = await createBench();
		await register('d');
		await confirm('a');
		expect(mirrors.a.state.hosts.map(({name}) => name)).to.deep.equal(['a', 'b', 'c', 'd']);
	});

	it('costs one call if nothing has changed', async () => {
		const {store, confirm} = await createBench();
		const before = store.calls;
		await confirm('a');
		expect(store.calls - before).to.equal(1);
	});

	it('is confirmed and updated by a peer if the store does not respond to this host', async () => {
		const {store, confirm, mirrors, register} = await createBench();
		store.setFaults('a', {silent: true});
		await register('d');
		expect([await confirm('a'), mirrors.a.state.hosts.length]).to.deep.equal([true, 4]);
	});

	it('is confirmed by all hosts together if the store is down', async () => {
		const {store, confirm, mirrors, elapsedClock} = await createBench();
		store.setFaults(undefined, {refused: true});
		const askedAt = elapsedClock.elapsed();
		expect(await confirm('a')).to.equal(true);
		expect(mirrors.a.partsConfirmedAt).to.be.at.least(askedAt);
	});

	/** The operator changes the configuration without any host, so hosts that the store turns away cannot confirm it together. */
	it('is not confirmed with its configuration by all hosts together', async () => {
		const {store, confirm, mirrors, elapsedClock} = await createBench();
		store.setFaults(undefined, {refused: true});
		const turnedAwayAt = elapsedClock.elapsed();
		expect(await confirm('a')).to.equal(true);
		expect(mirrors.a.partsConfirmedAt).to.be.at.least(turnedAwayAt);
		expect(mirrors.a.routingConfirmedAt).to.be.lessThan(turnedAwayAt);
	});

	/** The store goes down while a host replaces a primary: the other hosts' copies may be outdated already. */
	it('is not confirmed while one of them is changing a group', async () => {
		const {store, confirm, changing} = await createBench();
		store.setFaults(undefined, {refused: true});
		changing.set('b', ['g']);
		expect(await confirm('a')).to.equal(false);
	});

	/** A host that is marked as unresponsive may be alive and read the store; no host asks it, so it could be replacing a primary. */
	it('is not confirmed by all together while one is marked as unresponsive', async () => {
		const {store, confirm, clock} = await createBench();
		const {version, value} = store.getRecord(RecordKind.Hosts, 'c')!;
		await clock.runUntil(store.getClient('a').putRecord(RecordKind.Hosts, {name: 'c', version, value: {...value as Record<string, unknown>, gone: true}}, 900));
		await confirm('a');
		await confirm('b');
		await confirm('c');
		store.setFaults(undefined, {refused: true});
		expect(await confirm('a')).to.equal(false);
	});

	/** After a long outage, hosts may have registered that this one does not know and cannot ask. */
	it('is not confirmed by all together for longer than a new host waits', async () => {
		const {store, confirm, clock} = await createBench();
		store.setFaults(undefined, {refused: true});
		await clock.advance(8000);
		expect(await confirm('a')).to.equal(true);
		await clock.advance(1500);
		expect(await confirm('a')).to.equal(false);
	});

	it('is not confirmed if one of them does not respond', async () => {
		const {store, confirm, network} = await createBench();
		store.setFaults(undefined, {refused: true});
		network.setFaultsBetween('a:7000', 'c:7000', {cut: true});
		expect(await confirm('a')).to.equal(false);
	});

	it('never returns to an earlier configuration', async () => {
		const {store, confirm, mirrors} = await createBench();
		const routing = {
			version: 7, routes: new Map(), groups: new Map(), workspaces: new Map(), idleTransactionMs: 1,
		};
		store.setRouting(routing);
		await confirm('a');
		store.setRouting({...routing, version: 6});
		await confirm('a');
		expect(mirrors.a.state.routing?.version).to.equal(7);
	});

	/**
	 * The store refuses every call at once for some seconds, and statements that wait for a primary lease request one confirmation after another. Every call is billed,
	 * and all of them are refused.
	 */
	it('pauses its calls to a store that refuses them', async () => {
		const {clock, store, mirrors} = await createBench();
		store.setFaults(undefined, {refused: true});
		const before = store.calls;
		for (let ms = 0; ms < 3000; ms += 10) {
			void mirrors.a.confirm();
			await clock.advance(10);
		}

		// Three hosts, since a host that is refused has its peers read the store as well.
		expect(store.calls - before).to.be.lessThan(3 * 20);
	});

	/**
	 * Twenty hosts cannot reach the store. If each asked every other one for unanimity, an outage would cause 380 calls in each round, and 810,000 among 900 hosts.
	 */
	it('is confirmed through a few peers only if there are many', async () => {
		const {clock, store, network, register} = await createBench();
		for (let i = 0; i < 17; i++) {
			await register(`h${i}`);
		}

		const peers = network.addHost('d:7000');
		const startedAt = clock.now();
		const mirror = createStoreMirror({
			store: store.getClient('d'),
			peers,
			clock,
			elapsedClock: {elapsed: () => clock.now() - startedAt},
			log: createSilentLog(),
			host: {name: 'd', peerAddress: 'd:7000', availabilityZone: 'z'},
			seeds: [],
			getChanging: () => [],
			getUnfenced: () => [],
			noteUnfenced() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		});
		await clock.runUntil(mirror.confirm());
		store.setFaults(undefined, {refused: true});
		const before = peers.figures.calls;
		await clock.runUntil(mirror.confirm());
		expect(peers.figures.calls - before).to.equal(3);
	});
});
