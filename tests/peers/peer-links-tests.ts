import {expect} from 'chai';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createPeers, type LivePeers} from '../../src/peers/create-peers.js';
import {isPeerError} from '../../src/peers/peer-errors.js';
import {createWsTransport} from '../../src/peers/ws-transport.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createPeerNetwork, type PeerNetwork} from '../../src/stand-ins/peers/in-memory-peers.js';
import {createVirtualClock, type VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {startTcpRelay, type TcpRelay} from '../../src/stand-ins/peers/tcp-relay.js';
import {createGatedHandler, describeOutcome, PEER_KEY} from './peer-bench.js';

const SILENT = 'sent true: gave no answer to echo: silent for 2500 ms';
const NOT_OPEN = 'sent false: gave no answer to echo: not open within 1000 ms';

describe('peer links over a failing network', () => {
	let clock: VirtualClock;
	let relay: TcpRelay;
	let host: LivePeers;
	let other: LivePeers;

	/** Starts a host on loopback that is reached at the address given, if any. */
	const startHost = async (reachedAt?: string) => {
		const transport = createWsTransport({
			hostAddress: '127.0.0.1', port: 0, maxMessageBytes: 65_536, clock,
		});
		const peers = createPeers({
			transport: {
				...transport,
				get address() {
					return reachedAt ?? transport.address;
				},
			},
			peerKeys: [PEER_KEY], clock, random: createSeededRandom(1), log: createSilentLog(),
		});
		await peers.start();
		return {peers, address: transport.address};
	};

	beforeEach(async () => {
		clock = createVirtualClock();
		relay = await startTcpRelay();
		const started = await startHost(relay.address);
		other = started.peers;
		relay.target(started.address);
		const caller = await startHost();
		host = caller.peers;
	});
	afterEach(async () => {
		await host.stop();
		relay.stop();
		await other.stop();
	});

	function doTestAddress(address: string) {
		it(`reports a peer whose address is ${address} as unreachable, as any that cannot be called`, async () => {
			const err = await host.call(address, 'echo', 'first', 1000).catch((err_: unknown) => err_);
			expect(isPeerError(err)).to.equal(true);
		});
	}

	doTestAddress('10.1.0.9:99999');
	doTestAddress('999.1.1.1:7000');
	doTestAddress('a b:7000');
	doTestAddress('nothing');

	// The connection breaks in the middle of a response, of which half the rows would be shown. The call must fail at once as
	// one that may have run, and the next one must get its complete response over a new link.
	it('delivers no part of a truncated response', async () => {
		const rows = Array.from({length: 500}, (_, number) => ({number}));
		other.handle('echo', async () => rows);
		await host.call(relay.address, 'echo', 0, 1000);
		relay.cutAfter(1000);
		expect(await describeOutcome(host.call(relay.address, 'echo', 0, 1000))).to.equal('sent true: gave no answer to echo: the link broke');
		expect(await host.call(relay.address, 'echo', 0, 1000)).to.deep.equal(rows);
		expect(host.figures.linksOpened).to.equal(2);
	});

	// Something between the hosts drops their connection silently: it stays open and carries nothing, while new connections work.
	// Every request through one owner would wait for its whole deadline.
	it('terminates a silent link within 3 s and opens another', async () => {
		other.handle('echo', async req => req);
		await host.call(relay.address, 'echo', 0, 1000);
		relay.freeze();
		const call = describeOutcome(host.call(relay.address, 'echo', 'row', 60_000));
		expect(await clock.runUntil(call, 3000)).to.equal(SILENT);
		expect(await host.call(relay.address, 'echo', 'row', 60_000)).to.equal('row');
	});

	it('reports that nothing listens at an address', async () => {
		expect(await describeOutcome(host.call('127.0.0.1:9', 'echo', 0, 1000))).to.match(/^sent false: .*ECONNREFUSED/v);
	});
});

describe('peer links on a simulated network', () => {
	let clock: VirtualClock;
	let network: PeerNetwork;
	let host: LivePeers;
	let other: LivePeers;
	let gated: ReturnType<typeof createGatedHandler>;

	beforeEach(async () => {
		clock = createVirtualClock();
		network = createPeerNetwork(clock);
		host = network.addHost('10.0.0.1:7000');
		other = network.addHost('10.0.0.2:7000');
		gated = createGatedHandler();
		other.handle('echo', async req => req);
		await clock.runUntil(host.call(other.address, 'echo', 'open the link', 1000));
	});

	const call = async (req: unknown, timeoutMs = 10_000) => describeOutcome(host.call(other.address, 'echo', req, timeoutMs));

	const doTest = (title: string, expected: string[], act: () => Promise<unknown[]>) => {
		it(title, async () => {
			expect(await act()).to.deep.equal(expected);
		});
	};

	// The network delivers a response twice; the second copy must not reach a later call.
	doTest('accepts a response once', ['"first"', '"second"', '2 duplicates'], async () => {
		network.setFaults(other.address, host.address, {duplicateResponses: true});
		const outcomes = [await clock.runUntil(call('first')), await clock.runUntil(call('second'))];
		await clock.advance(10);
		return [...outcomes, `${host.figures.duplicateAnswers} duplicates`];
	});

	doTest('matches responses that the network reorders', ['"first"', '"second"'], async () => {
		network.setFaults(other.address, host.address, {reorderResponses: true});
		return clock.runUntil(Promise.all([call('first'), call('second')]));
	});

	doTest('times out when the response is lost after the call has run', ['sent true: gave no answer to echo: the timeout passed', 'entered'], async () => {
		other.handle('echo', gated.handle);
		network.setFaults(other.address, host.address, {dropResponses: true});
		const lost = call('first', 5000);
		await clock.runUntil(gated.entered('first'));
		gated.answer('first');
		return [await clock.runUntil(lost), gated.hasEntered('first') ? 'entered' : 'lost'];
	});

	// A call runs for 20 s on a healthy peer: its link must not be taken for silent.
	doTest('keeps a link whose peer responds to pings', ['"answer to slow"'], async () => {
		other.handle('echo', gated.handle);
		const slow = call('slow', 30_000);
		await clock.advance(20_000);
		gated.answer('slow');
		return [await clock.runUntil(slow)];
	});

	// The caller was told that the call was not sent, and tried another host: a write would run twice if the frame, which waited
	// for the link to open, were sent after all.
	doTest('never sends a call that timed out while the link opened', ['sent false: gave no answer to echo: the timeout passed', 'did not run'], async () => {
		const late = network.addHost('10.0.0.3:7000');
		late.handle('echo', gated.handle);
		network.setFaultsBetween(host.address, late.address, {delayMs: 100});
		const write = describeOutcome(host.call(late.address, 'echo', 'write', 50));
		const outcome = await clock.runUntil(write);
		await clock.advance(2000);
		return [outcome, gated.hasEntered('write') ? 'ran' : 'did not run'];
	});

	// A host stops while another one opens a link to it for a write. Depending on the step of the opening, the link is accepted after the
	// stop began; the write must then be refused, neither run by the stopped host nor left with an unknown outcome.
	doTest('runs or refuses each call on a link that opens during a stop, with a known outcome', ['7 refused, 2 answered, 2 handled'], async () => {
		const handled: unknown[] = [];
		const outcomes: string[] = [];
		const handle = async (req: unknown) => {
			handled.push(req);
			return req;
		};

		for (let stopAfterMs = 0; stopAfterMs <= 8; stopAfterMs++) {
			const stopped = network.addHost(`10.0.1.${stopAfterMs}:7000`);
			stopped.handle('echo', handle);
			const write = describeOutcome(host.call(stopped.address, 'echo', 'write', 1000));
			await clock.advance(stopAfterMs);
			const stopping = stopped.stop();
			outcomes.push(await clock.runUntil(write));
			await clock.runUntil(stopping);
		}

		const refused = outcomes.filter(outcome => outcome.startsWith('sent false'));
		const answered = outcomes.filter(outcome => outcome === '"write"');
		return [`${refused.length} refused, ${answered.length} answered, ${handled.length} handled`];
	});

	// A host stops while another one calls it every millisecond, so that some call is always in transit. If the link were kept
	// for them, it would never drain, and its close would leave the last calls with unknown outcomes.
	doTest('closes a link to a stopping host while calls continue', ['"0"', 'none unknown', 'stopped within 5 ms'], async () => {
		const calls: Array<Promise<string>> = [];
		const callFor = async (ms: number) => {
			for (let passed = 0; passed < ms; passed++) {
				calls.push(call(String(calls.length)));
				await clock.advance(1);
			}
		};

		await callFor(5);
		const startedAt = clock.now();
		const stopping = other.stop().then(() => clock.now() - startedAt);
		await callFor(600);
		const outcomes = await clock.runUntil(Promise.all(calls));
		const unknownCount = outcomes.filter(outcome => outcome.startsWith('sent true')).length;
		const stopMs = await clock.runUntil(stopping);
		return [outcomes[0], unknownCount === 0 ? 'none unknown' : `${unknownCount} unknown`, `stopped within ${Math.max(5, stopMs)} ms`];
	});

	doTest('fails calls at once when the peer is killed, and cannot reach it afterwards', [
		'sent true: gave no answer to echo: connection reset within 2 ms',
		'sent false: gave no answer to echo: connection refused within 2 ms',
		'"again"',
	], async () => {
		other.handle('echo', gated.handle);
		const timed = async (outcome: Promise<string>) => {
			const startedAt = clock.now();
			return `${await clock.runUntil(outcome)} within ${clock.now() - startedAt < 2 ? 2 : 'more than 2'} ms`;
		};

		const interrupted = call('first');
		await clock.runUntil(gated.entered('first'));
		network.kill(other.address);
		const outcomes = [await timed(interrupted), await timed(call('second'))];
		network.addHost(other.address).handle('echo', async req => req);
		return [...outcomes, await clock.runUntil(call('again'))];
	});

	// A host is killed during a network partition and restarted, so its peer never learns that the link has ended. Consecutive short calls
	// each time out long before a link counts as silent, and must detect that together.
	doTest('terminates a lost link although every call on it is short', ['"first"', '"again"'], async () => {
		other.handle('echo', async req => req);
		const outcomes = [await clock.runUntil(call('first'))];
		network.setFaultsBetween(host.address, other.address, {cut: true});
		await clock.advance(10);
		network.kill(other.address);
		network.addHost(other.address).handle('echo', async req => req);
		network.heal();
		let outcome = 'never';
		for (let askedMs = 0; askedMs < 5000 && outcome !== '"again"'; askedMs += 400) {
			outcome = await clock.runUntil(call('again', 200));
			await clock.advance(200);
		}

		return [...outcomes, outcome];
	});

	// The same with one call only: the ping detects that the link is lost, so that the next call needs no second try.
	doTest('terminates a lost link after one short call', ['"first"', 'sent true: gave no answer to echo: the timeout passed', '"again"'], async () => {
		other.handle('echo', async req => req);
		const outcomes = [await clock.runUntil(call('first'))];
		network.setFaultsBetween(host.address, other.address, {cut: true});
		await clock.advance(10);
		network.kill(other.address);
		network.addHost(other.address).handle('echo', async req => req);
		network.heal();
		outcomes.push(await clock.runUntil(call('lost', 200)));
		await clock.advance(3000);
		return [...outcomes, await clock.runUntil(call('again', 200))];
	});

	// A busy host responds late to one call, and no other call follows: its link must not be terminated for that.
	doTest('keeps a link on which one short call got a late response', ['sent true: gave no answer to echo: the timeout passed', '0 silent'], async () => {
		other.handle('echo', gated.handle);
		const outcomes = [await clock.runUntil(call('late', 200))];
		gated.answer('late');
		await clock.advance(10_000);
		return [...outcomes, `${host.figures.linksSilent} silent`];
	});

	// A host is paused with a request in transit: the caller is told that it may have run, and it does run once the host resumes.
	doTest('delivers to a paused host when it resumes', [SILENT, NOT_OPEN, '"again"', 'ran late'], async () => {
		other.handle('echo', gated.handle);
		network.pause(other.address);
		const outcomes = [await clock.runUntil(call('first')), await clock.runUntil(call('second'))];
		network.resume(other.address);
		await clock.advance(10);
		other.handle('echo', async req => req);
		return [...outcomes, await clock.runUntil(call('again')), gated.hasEntered('first') ? 'ran late' : 'lost'];
	});

	doTest('fails in one direction as in both', [SILENT, NOT_OPEN, '"healed"'], async () => {
		network.setFaults(other.address, host.address, {cut: true});
		const outcomes = [await clock.runUntil(call('first')), await clock.runUntil(call('second'))];
		network.heal();
		return [...outcomes, await clock.runUntil(call('healed'))];
	});
});
