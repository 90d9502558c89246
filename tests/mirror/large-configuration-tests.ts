import {expect} from 'chai';
import {Packr} from 'msgpackr';
import {createRouting} from '../../src/bench/news-spread/mirror-fleet.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {EMPTY_ID} from '../../src/mirror/contents-id.js';
import {createContentsReceiver} from '../../src/mirror/contents-receiver.js';
import {RecordKind, type MetadataStore} from '../../src/mirror/metadata-store.js';
import {createStoreMirror} from '../../src/mirror/store-mirror.js';
import {PeerError} from '../../src/peers/peer-errors.js';
import type {Peers} from '../../src/peers/peers.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createInMemoryMetadataStore} from '../../src/stand-ins/metadata-store/in-memory-metadata-store.js';
import {createPeerNetwork} from '../../src/stand-ins/peers/in-memory-peers.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const HOSTS = ['a', 'b', 'c'];
const STEP_MS = 50;

/** Creates registered hosts that mirror one store, from which a configuration takes `transferMs` to arrive. */
async function createFleet(transferMs: number, names: readonly string[] = HOSTS) {
	const clock = createVirtualClock();
	const store = createInMemoryMetadataStore(clock, createSeededRandom(1));
	const network = createPeerNetwork(clock);
	const elapsedClock = {elapsed: () => clock.now()};
	const transfers = {begun: 0, mostAtOnce: 0, isSlow: false};
	const createClient = (name: string): MetadataStore => {
		const client = store.getClient(name);
		let underWay = 0;
		return {
			...client,
			async readRouting(timeoutMs) {
				transfers.begun++;
				transfers.mostAtOnce = Math.max(transfers.mostAtOnce, ++underWay);
				const read = await client.readRouting(timeoutMs);
				await clock.sleep(transfers.isSlow ? transferMs : 0);
				underWay--;
				return read;
			},
		};
	};

	const mirrors = names.map(name => createStoreMirror({
		store: createClient(name),
		peers: network.addHost(`${name}:7000`),
		clock,
		elapsedClock,
		log: createSilentLog(),
		host: {name, peerAddress: `${name}:7000`, availabilityZone: 'z'},
		seeds: [],
		getChanging: () => [],
		getUnfenced: () => [],
		noteUnfenced: () => undefined,
	}));
	const putHost = async (name: string) => {
		const version = store.getRecord(RecordKind.Hosts, name)?.version ?? 0;
		await store.getClient(name).putRecord(RecordKind.Hosts, {name, version, value: {name, peerAddress: `${name}:7000`, availabilityZone: 'z'}}, 900);
	};

	for (const name of names) {
		await clock.runUntil(putHost(name));
	}

	store.setRouting(createRouting(1, 5));
	for (const mirror of mirrors) {
		void mirror.start();
	}

	await clock.advance(3000);
	expect(mirrors.map(({state}) => state.routing?.version)).to.deep.equal(names.map(() => 1));
	transfers.begun = 0;
	transfers.isSlow = true;

	/** Advances the clock by `ms` and returns the greatest age of a confirmation in which the configuration does not count. */
	const getMaxAge = async (ms: number, onStep?: (passedMs: number) => void) => {
		let maxAge = 0;
		for (let passed = 0; passed < ms; passed += STEP_MS) {
			onStep?.(passed);
			await clock.advance(STEP_MS);
			maxAge = Math.max(maxAge, ...mirrors.map(({partsConfirmedAt}) => clock.now() - partsConfirmedAt!));
		}

		return maxAge;
	};

	const stop = () => {
		for (const mirror of mirrors) {
			void mirror.stop();
		}
	};

	return {
		clock, store, network, mirrors, transfers, putHost, getMaxAge, stop,
	};
}

describe('a configuration that takes longer to arrive than a primary lease lasts', () => {
	it('holds up no confirmation of the other parts: every primary lease would end', async () => {
		const {store, mirrors, getMaxAge, stop} = await createFleet(4000);
		store.setRouting(createRouting(2, 5));
		expect(await getMaxAge(5500)).to.be.lessThan(1500);
		expect(mirrors.map(({state}) => state.routing?.version)).to.deep.equal([2, 2, 2]);
		stop();
	});

	it('is requested once at a time, and not anew while other changes come', async () => {
		const {store, mirrors, transfers, putHost, getMaxAge, stop} = await createFleet(1400);
		store.setRouting(createRouting(2, 5));
		const maxAge = await getMaxAge(5000, passed => {
			if (passed % 300 === 0) {
				void putHost('c');
			}
		});
		expect(maxAge).to.be.lessThan(1500);
		expect(transfers.mostAtOnce).to.equal(1);
		// Four fit into that time one after the other; the other hosts may read it once each.
		expect(transfers.begun).to.be.at.most(6);
		expect(mirrors.map(({state}) => state.routing?.version)).to.deep.equal([2, 2, 2]);
		stop();
	});

	it('is not confirmed before it is here, and is known to be pending', async () => {
		const {store, mirrors, getMaxAge, stop} = await createFleet(4000);
		await getMaxAge(1000);
		const before = mirrors.map(({routingConfirmedAt}) => routingConfirmedAt!);
		store.setRouting(createRouting(2, 5));
		await getMaxAge(2000);
		expect(mirrors.map(({isRoutingComplete}) => isRoutingComplete)).to.deep.equal(HOSTS.map(() => false));
		expect(mirrors.map(({routingConfirmedAt}, i) => routingConfirmedAt! - before[i]!).every(ms => ms < 1000)).to.equal(true);
		await getMaxAge(3500);
		expect(mirrors.map(({isRoutingComplete}) => isRoutingComplete)).to.deep.equal(HOSTS.map(() => true));
		expect(mirrors.map(({routingConfirmedAt}, i) => routingConfirmedAt! - before[i]!).every(ms => ms > 2000)).to.equal(true);
		stop();
	});

	it('is read by the host that reads for all and one that it asks, and not by each whose confirmation is overdue: their links would be full', async () => {
		const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i', 'j'];
		const {store, mirrors, transfers, getMaxAge, stop} = await createFleet(1800, names);
		store.setFaults(undefined, {silent: true});
		await getMaxAge(2000);
		transfers.begun = 0;
		store.setRouting(createRouting(2, 5));
		store.heal();
		await getMaxAge(1800);
		expect(transfers.begun).to.be.at.most(2);
		await getMaxAge(2000);
		expect(mirrors.map(({state}) => state.routing?.version)).to.deep.equal(names.map(() => 2));
		stop();
	});

	it('is read by a host that is cut off from all others: nobody else can provide it', async () => {
		const {store, mirrors, network, transfers, getMaxAge, stop} = await createFleet(0, ['a', 'b', 'c', 'd', 'e', 'f']);
		transfers.isSlow = false;
		for (const name of ['a', 'b', 'c', 'd', 'e']) {
			network.setFaultsBetween('f:7000', `${name}:7000`, {cut: true});
		}

		await getMaxAge(1000);
		store.setRouting(createRouting(2, 5));
		await getMaxAge(2500);
		expect(mirrors.at(-1)!.state.routing?.version).to.equal(2);
		stop();
	});
});

describe('an update that arrives in pieces', () => {
	const WHOLE = new Packr({useRecords: true}).pack({to: EMPTY_ID});
	const PIECES = [0, 1, 2].map(i => WHOLE.subarray(i * WHOLE.length / 3, (i + 1) * WHOLE.length / 3));
	const offsets = PIECES.map((_, i) => PIECES.slice(0, i).reduce((sum, {length}) => sum + length, 0));

	it('goes on behind what has arrived where a piece was lost: from its beginning it may never arrive whole', async () => {
		const asked: number[] = [];
		const receiver = createContentsReceiver({
			async call(_address: string, _kind: string, {offset}: {readonly offset: number}) {
				asked.push(offsets.indexOf(offset));
				if (asked.length === 2) {
					throw new PeerError('it was lost');
				}

				return {bytes: PIECES[offsets.indexOf(offset)]};
			},
		} as unknown as Peers, createSilentLog());
		const first = {key: 'a', size: WHOLE.length, bytes: PIECES[0]!};
		const lost = await receiver.receive('a:7000', first).catch((err: unknown) => err);
		expect(lost).to.be.instanceOf(PeerError);
		expect(await receiver.receive('b:7000', first)).to.deep.equal({to: EMPTY_ID});
		expect(asked).to.deep.equal([1, 2, 2]);
	});
});
