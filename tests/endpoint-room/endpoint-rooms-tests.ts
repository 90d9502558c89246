import {expect} from 'chai';
import {createEndpointRooms, type EndpointRoomsOptions} from '../../src/endpoint-room/endpoint-rooms.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createPeerNetwork} from '../../src/stand-ins/peers/in-memory-peers.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const ADDRESSES = ['a:7000', 'b:7000', 'c:7000'];

/** An endpoint of 6 slots, so with a budget of 9. */
const ENTRY = {
	id: 'i-1', group: 'nights', slots: 6, availabilityZone: 'zone-0',
};

/** Creates three pool hosts of one endpoint; each has the demand that the test sets. */
function createBench() {
	const clock = createVirtualClock(0);
	const network = createPeerNetwork(clock);
	let reports = 0;
	const hosts = ADDRESSES.map(peerAddress => ({name: peerAddress, peerAddress, availabilityZone: 'zone-0'}));
	const members = ADDRESSES.map(address => {
		const load = {inFlight: 0, queued: 0};
		let takeovers = 0;
		const peers = network.addHost(address);
		const rooms = createEndpointRooms({
			poolHosts: {
				isShared: () => true, isPoolHost: () => true, countHosts: () => hosts.length, getHosts: () => hosts,
			},
			peers: {
				...peers, async call(to: string, kind: 'room-report', req: never, timeoutMs: number) {
					reports++;
					return peers.call(to, kind, req, timeoutMs);
				},
			},
			clock,
			log: createSilentLog(),
			ownPeerAddress: address,
			roomFactor: 1.5,
			getEndpoint: () => ({entry: ENTRY, ownPool: {getLoad: () => load}}),
			isFailed: () => false,
			onTakeover() {
				takeovers++;
			},
		} as unknown as EndpointRoomsOptions);
		return {
			address, load, rooms, window: rooms.createWindow(ENTRY as never), getTakeovers: () => takeovers,
		};
	});

	return {
		clock,
		network,
		members,
		get reports() {
			return reports;
		},
		/** Sets the demand of each host and lets an answer of the endpoint arrive there. */
		setDemand(...demands: readonly number[]) {
			for (const [i, {load, window}] of members.entries()) {
				load.inFlight = Math.min(demands[i]!, 3);
				load.queued = demands[i]! - load.inFlight;
				window.noteServed();
			}
		},
		getSizes: () => members.map(({window}) => window.size),
	};
}

describe('the concurrency budget of an endpoint', () => {
	/** Three pool hosts with uneven load: without a common budget each would send as much as it has, and the endpoint's queue would be full. */
	it('is divided by demand, and follows a change of demand within a report interval', async () => {
		const bench = createBench();
		expect(bench.getSizes()).to.deep.equal([3, 3, 3]);
		bench.setDemand(4, 40, 4);
		await bench.clock.advance(205);
		expect(bench.getSizes()).to.deep.equal([1, 7, 1]);
		bench.setDemand(40, 40, 4);
		await bench.clock.advance(205);
		expect(bench.getSizes()).to.deep.equal([4, 4, 1]);
	});

	/** Guards against control traffic that grows with the number of endpoints: most are idle, or have one statement in flight, at most hosts. */
	it('costs no message where no host has more than one statement, and stops to cost any after the load', async () => {
		const bench = createBench();
		bench.setDemand(1, 1, 1);
		await bench.clock.advance(2000);
		expect(bench.reports).to.equal(0);
		bench.setDemand(9, 9, 9);
		await bench.clock.advance(1000);
		expect(bench.reports).to.be.within(18, 24);
		bench.setDemand(0, 0, 0);
		await bench.clock.advance(1000);
		const {reports} = bench;
		await bench.clock.advance(2000);
		expect([bench.reports, bench.getSizes()]).to.deep.equal([reports, [3, 3, 3]]);
	});

	/**
	 * The allocator is killed, frozen, or cut off from the others, while the list of hosts stays as it is because the store is down. Without another allocator the other hosts would be held
	 * to equal shares, or to old ones, however uneven their load is.
	 */
	for (const [name, fail] of Object.entries({
		killed({network}) {
			network.kill('a:7000');
		},
		frozen({network}) {
			network.pause('a:7000');
		},
		partitioned({network}) {
			network.setFaultsBetween('a:7000', 'b:7000', {cut: true});
			network.setFaultsBetween('a:7000', 'c:7000', {cut: true});
		},
	} satisfies Record<string, (bench: ReturnType<typeof createBench>) => void>)) {
		it(`is allocated by the next pool host within 300 ms where the allocator is ${name}, with equal shares meanwhile`, async () => {
			const bench = createBench();
			bench.setDemand(4, 40, 4);
			await bench.clock.advance(505);
			fail(bench);
			await bench.clock.advance(195);
			expect(bench.getSizes().slice(1)).to.deep.equal([3, 3]);
			bench.setDemand(0, 40, 4);
			await bench.clock.advance(305);
			// The places of the former allocator go to those that report.
			expect(bench.getSizes().slice(1)).to.deep.equal([8, 1]);
			expect(bench.members.map(({getTakeovers}) => getTakeovers()).slice(1)).to.deep.equal([1, 1]);
		});
	}

	it('is allocated by the first pool host again once that responds', async () => {
		const bench = createBench();
		bench.setDemand(4, 40, 4);
		await bench.clock.advance(505);
		bench.network.pause('a:7000');
		await bench.clock.advance(2000);
		bench.network.resume('a:7000');
		await bench.clock.advance(5000);
		expect(bench.members.map(({rooms}) => rooms.list()[0]!.isAllocator)).to.deep.equal([true, false, false]);
		expect(bench.getSizes()).to.deep.equal([1, 7, 1]);
	});

	/** Guards against two allocators that each divide the whole budget, where one pool host alone does not reach the first. */
	it('is not allocated twice where one pool host is cut off from the allocator only', async () => {
		const bench = createBench();
		bench.setDemand(20, 20, 20);
		bench.network.setFaultsBetween('a:7000', 'c:7000', {cut: true});
		await bench.clock.advance(3000);
		const sizes = bench.getSizes();
		expect(sizes[2]).to.equal(3);
		expect(sizes[0]! + sizes[1]!).to.be.at.most(9 - 1);
	});
});
