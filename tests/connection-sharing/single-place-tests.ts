import {expect} from 'chai';
import type {CheckoutRequest} from '../../src/connection-sharing/checkout-calls.js';
import {createHostWatch} from '../../src/connection-sharing/host-watch.js';
import {LeastLoadOrder} from '../../src/connection-sharing/least-load-order.js';
import {createLoadReports} from '../../src/endpoint-load/load-reports.js';
import {createSharedPool, type SharedPoolOptions} from '../../src/connection-sharing/shared-pool.js';
import {createWaitIds} from '../../src/connection-sharing/wait-ids.js';
import {createWaitingPlaces} from '../../src/connection-sharing/waiting-places.js';
import type {EndpointLoad} from '../../src/links/endpoint-load.js';
import type {AcquireRequest, EndpointPool, QueueRefusal} from '../../src/links/endpoint-pool.js';
import type {SessionLink} from '../../src/links/link-session.js';
import {createUnreachableHosts} from '../../src/membership/unreachable-hosts.js';
import type {Peers} from '../../src/peers/peers.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createPeerNetwork} from '../../src/stand-ins/peers/in-memory-peers.js';
import {createVirtualClock, type VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {SessionState} from '../../src/statements/statement.js';

const HOSTS = ['a', 'b', 'c'].map(name => ({name, peerAddress: `${name}:7000`, availabilityZone: 'zone-0'}));

const IDLE: EndpointLoad = {
	limit: 4, inFlight: 0, queued: 0, serviceMs: 10, waitMs: 0,
};

const QUEUE: QueueRefusal = {reason: 'the queue is long', retryAfterMs: 70, predictedWaitMs: 900};

/** Creates a shared pool of a host without connections of its own before pool hosts that respond as the test says. */
function createBench(respond: (poolHost: string, kind: string, req: CheckoutRequest, clock: VirtualClock) => Promise<unknown>) {
	const clock = createVirtualClock(0);
	const network = createPeerNetwork(clock);
	const calls: string[] = [];
	const requests: CheckoutRequest[] = [];
	for (const {peerAddress} of HOSTS) {
		const peers = network.addHost(peerAddress);
		peers.handle('host-alive', async () => ({alive: true as const}));
		for (const kind of ['loan-open', 'loan-run', 'loan-end'] as const) {
			peers.handle(kind, async (req: Record<string, unknown>) => {
				calls.push(`${kind} ${peerAddress}`);
				requests.push(req as CheckoutRequest);
				return (kind === 'loan-end' ? {ended: true} : await respond(peerAddress, kind, req as CheckoutRequest, clock)) as never;
			});
		}
	}

	const peers: Peers = network.addHost('own:7000');
	const loads = createLoadReports();
	const pool = createSharedPool({
		entry: {id: 'i-1', group: 'nights'},
		ownPool: {acquire: async () => undefined},
		poolHosts: {
			availabilityZone: 'zone-0', isPoolHost: () => false, isShared: () => true, getHosts: () => HOSTS,
		},
		unreachable: createUnreachableHosts(),
		peers,
		clock,
		ownPeerAddress: 'own:7000',
		scheduling: {
			loads, hostWatch: createHostWatch({peers, clock}), waitIds: createWaitIds(peers), random: createSeededRandom(1),
		},
	} as unknown as SharedPoolOptions);
	return {
		clock, network, calls, requests, loads, pool,
	};
}

const makeRequest = (options: Partial<AcquireRequest> = {}): AcquireRequest => ({
	priority: 1, until: 900, values: new Map(), single: false, workspace: 'harbor', ...options,
});

/** Resolves after `ms` milliseconds with a granted checkout, or with an answer to a read. */
const answerAfter = async (clock: VirtualClock, ms: number, kind: string) => {
	await clock.sleep(ms);
	return kind === 'loan-open' ? {loan: 'l-1', load: IDLE} : {answer: {rows: ['7'], end: {kind: 'complete'}, state: SessionState.Idle}, load: IDLE};
};

/** Acquires a connection and, for a read, runs it; resolves with whether that succeeded. */
const use = async ({pool, clock}: ReturnType<typeof createBench>, request: AcquireRequest) => clock.runUntil((async () => {
	const sessionLink = await pool.acquire(request);
	const answer = request.read && await sessionLink?.link.exchange({id: 's1', command: {kind: 'run', text: 'READ a'}});
	return request.read ? answer?.end.kind === 'complete' : sessionLink !== undefined;
})());

describe('a request that waits in one place', () => {
	for (const [kind, own] of Object.entries({'a checkout': {}, 'a read': {read: {}, single: true}})) {
		/** A request that went on to another pool host after 120 ms would lose its place in the queue there, and at each further one. */
		it(`stays at its workspace's first pool host for as long as its own time allows (${kind})`, async () => {
			const bench = createBench(async (_poolHost, called, _req, clock) => answerAfter(clock, 700, called));
			expect(await use(bench, makeRequest({...own, startBy: 400}))).to.equal(true);
			expect(bench.calls.length, bench.calls.join(' ')).to.equal(1);
			expect([bench.requests[0]!.waitMs, bench.requests[0]!.startInMs]).to.deep.equal([900, 400]);
			expect(bench.loads.list('i-1').find(({poolHost}) => poolHost === bench.calls[0]!.split(' ')[1])?.load).to.deep.equal(IDLE);
		});

		/** A request whose pool host knows that it is hopeless would else ask all others, which are as busy, before its caller is told. */
		it(`ends at once with the queue's refusal where it is hopeless (${kind})`, async () => {
			const refusals: QueueRefusal[] = [];
			const bench = createBench(async () => ({refused: 'hopeless', queue: QUEUE}));
			expect(await use(bench, makeRequest({...own, onRefused: refusal => refusals.push(refusal)}))).to.equal(false);
			expect([refusals, bench.calls.length, bench.clock.now() < 20]).to.deep.equal([[QUEUE], 1, true]);
		});

		/** A pool host is frozen with requests in its queue. Each would wait there for all of its time, though the next pool host has connections. */
		it(`moves to the next pool host where its own is silent, after a missed heartbeat (${kind})`, async () => {
			let first: string | undefined;
			const bench = createBench(async (poolHost, called, _req, clock) => {
				first ??= poolHost;
				if (poolHost === first) {
					bench.network.pause(poolHost);
				}

				return answerAfter(clock, poolHost === first ? 5000 : 5, called);
			});
			expect(await use(bench, makeRequest(own))).to.equal(true);
			expect(bench.clock.now()).to.be.at.most(250 + 20);
			expect(new Set(bench.calls.map(call => call.split(' ')[1])).size).to.equal(2);
		});

		/** A caller leaves while its request waits. The pool host would acquire, and perhaps open, a connection for nobody. */
		it(`gives up its place once its caller has left (${kind})`, async () => {
			const bench = createBench(async (_poolHost, called, _req, clock) => answerAfter(clock, 5000, called));
			const used = use(bench, makeRequest({...own, isWanted: () => bench.clock.now() < 100}));
			expect(await used).to.equal(false);
			expect(bench.clock.now()).to.be.at.most(260);
			await bench.clock.advance(10);
			expect(bench.calls.map(call => call.split(' ')[0])).to.deep.equal([own.read ? 'loan-run' : 'loan-open', 'loan-end']);
			expect((bench.requests[1] as unknown as {loan: string}).loan).to.equal(bench.requests[0]!.waitId);
		});
	}
});

describe('a place of a remote host\'s request', () => {
	/** Creates a pool host whose pool grants a connection after 2 s, and a remote host that waits for it. */
	function createPlaceBench() {
		const clock = createVirtualClock(0);
		const network = createPeerNetwork(clock);
		const remote = network.addHost('remote:7000');
		remote.handle('host-alive', async () => ({alive: true as const}));
		let released = 0;
		let isWanted: (() => boolean) | undefined;
		const pool = {
			health: {awaitingSince: undefined},
			async acquire(request: AcquireRequest) {
				isWanted = request.isWanted;
				await clock.sleep(2000);
				const granted: Partial<SessionLink> = {};
				return granted;
			},
			release() {
				released++;
			},
		} as unknown as EndpointPool;
		const places = createWaitingPlaces({clock, hostWatch: createHostWatch({peers: network.addHost('own:7000'), clock})});
		const waited = places.wait(pool, {
			endpointId: 'i-1', priority: 1, waitMs: 3000, values: [], single: false, waitId: 'wait-1',
		}, 'remote:7000').then(result => ({...result, at: clock.now()}));
		return {
			clock, network, places, waited, isWanted: () => isWanted?.(), getReleased: () => released,
		};
	}

	it('is kept while the remote host is alive', async () => {
		const bench = createPlaceBench();
		await bench.clock.advance(1900);
		expect(bench.isWanted()).to.equal(true);
		const {sessionLink} = await bench.clock.runUntil(bench.waited);
		expect(sessionLink).to.not.equal(undefined);
	});

	/**
	 * One statement takes long and nothing else is in flight, so that the endpoint sends nothing. If requests were not sent for that reason, no answer could show that it is alive. They leave only
	 * where they would have to wait, as at a pool host that is cut off from the endpoint.
	 */
	it('is refused where the endpoint has not responded for a while, but only if there is none free', async () => {
		const clock = createVirtualClock(1000);
		const places = createWaitingPlaces({clock, hostWatch: createHostWatch({peers: createPeerNetwork(clock).addHost('own:7000'), clock})});
		const granted: boolean[] = [];
		for (const inFlight of [1, 4]) {
			const pool = {health: {awaitingSince: 700}, getLoad: () => ({...IDLE, inFlight}), acquire: async () => ({})} as unknown as EndpointPool;
			const {sessionLink} = await clock.runUntil(places.wait(pool, {
				endpointId: 'i-1', priority: 1, waitMs: 300, values: [], single: true,
			}, 'remote:7000'));
			granted.push(sessionLink !== undefined);
		}

		expect(granted).to.deep.equal([true, false]);
	});

	/** Guards against connections that are acquired, and opened, for hosts that have died or whose callers have left, and a connection that is lost to the pool if it comes later. */
	for (const [name, end, withinMs] of [
		['the remote host has died', ({network}) => {
			network.kill('remote:7000');
		}, 250],
		['the remote host is frozen', ({network}) => {
			network.pause('remote:7000');
		}, 250],
		['the remote host says so', ({places}) => {
			places.abandon('wait-1', 'remote:7000');
		}, 1],
	] satisfies ReadonlyArray<readonly [string, (bench: ReturnType<typeof createPlaceBench>) => void, number]>) {
		it(`is given up where ${name}, and its connection goes to others`, async () => {
			const bench = createPlaceBench();
			await bench.clock.advance(20);
			end(bench);
			const {sessionLink, at} = await bench.clock.runUntil(bench.waited);
			expect([sessionLink, at - 20 <= withinMs, bench.isWanted()]).to.deep.equal([undefined, true, false]);
			await bench.clock.advance(3000);
			expect(bench.getReleased()).to.equal(1);
		});
	}
});

describe('the order of pool hosts with scheduling', () => {
	const unreachable = createUnreachableHosts();
	const loads = createLoadReports();
	const createOrder = (ownPeerAddress = 'own:7000') => new LeastLoadOrder({
		endpointId: 'i-1', ownPeerAddress, unreachable, hostWatch: {isSilent: () => false}, loads, random: createSeededRandom(3), getOwnLoad: () => IDLE,
	});

	/** Guards against a workspace's connections being opened at every pool host: all hosts have to prefer the same one. */
	it('is the same for a workspace on every host, and differs between workspaces', () => {
		const workspaces = Array.from({length: 60}, (_, i) => `workspace ${i}`);
		const firsts = workspaces.map(workspace => createOrder().getAddresses(HOSTS, workspace, 0)[0]!);
		expect(workspaces.map(workspace => createOrder('a:7000').getAddresses(HOSTS, workspace, 0)[0])).to.deep.equal(firsts);
		for (const {peerAddress} of HOSTS) {
			expect(firsts.filter(first => first === peerAddress).length).to.be.at.least(10);
		}
	});

	it('skips a pool host that did not answer, also for a cached workspace', () => {
		const order = createOrder();
		const [first, second] = order.getAddresses(HOSTS, 'harbor', 0);
		unreachable.add(first!, 0);
		expect(order.getAddresses(HOSTS, 'harbor', 10)[0]).to.equal(second);
		expect(order.getAddresses(HOSTS, 'harbor', 2000)[0]).to.equal(first);
	});

	/** Guards against statements that go to the busiest pool host as often as to the others, and against a load that counts for ever after its host fell silent. */
	it('prefers the less loaded of two without a workspace, while the load is recent', () => {
		loads.note('i-1', {poolHost: 'a:7000', load: {...IDLE, inFlight: 4, queued: 9}, receivedAt: 5000});
		const order = createOrder();
		const countFirst = (now: number) => Array.from({length: 300}, () => order.getAddresses(HOSTS, undefined, now)[0]).filter(first => first === 'a:7000').length;
		expect(countFirst(5100)).to.equal(0);
		expect(countFirst(7000)).to.be.within(60, 150);
	});

	it('begins with this host where it is a pool host with a free place', () => {
		const order = createOrder('b:7000');
		expect(order.getAddresses(HOSTS, undefined, 3000)).to.deep.equal(['b:7000', 'a:7000', 'c:7000']);
	});
});
