import {expect} from 'chai';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createPeers, type LivePeers} from '../../src/peers/create-peers.js';
import {createWsTransport} from '../../src/peers/ws-transport.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createPeerNetwork, type PeerNetwork} from '../../src/stand-ins/peers/in-memory-peers.js';
import {createVirtualClock, type VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {startTcpRelay, type TcpRelay} from '../../src/stand-ins/peers/tcp-relay.js';
import {createGatedHandler, describeOutcome, PEER_KEY} from './peer-bench.js';

const SILENT = 'sent true: gave no answer to echo: silent for 2500 ms';
const NOT_OPEN = 'sent false: gave no answer to echo: not open within 1000 ms';

describe('peer links over a network that fails', () => {
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

	// A roster is shown with half its members: the connection breaks in the middle of an answer. The call must fail as
	// one that may have run, at once, and the next one must get its whole answer over a new link.
	it('takes no part of an answer that was cut', async () => {
		const roster = Array.from({length: 500}, (_, member) => ({member}));
		other.handle('echo', async () => roster);
		await host.call(relay.address, 'echo', 0, 1000);
		relay.cutAfter(1000);
		expect(await describeOutcome(host.call(relay.address, 'echo', 0, 1000))).to.equal('sent true: gave no answer to echo: the link broke');
		expect(await host.call(relay.address, 'echo', 0, 1000)).to.deep.equal(roster);
		expect(host.figures.linksOpened).to.equal(2);
	});

	// Every request through one owner waits for its whole deadline: something between the hosts lost track of their
	// connection, which stays open and carries nothing, while new ones work.
	it('gives up a silent link within 3 s and opens another', async () => {
		other.handle('echo', async req => req);
		await host.call(relay.address, 'echo', 0, 1000);
		relay.freeze();
		const call = describeOutcome(host.call(relay.address, 'echo', 'night', 60_000));
		expect(await clock.runUntil(call, 3000)).to.equal(SILENT);
		expect(await host.call(relay.address, 'echo', 'night', 60_000)).to.equal('night');
	});

	it('tells that nothing listens at an address', async () => {
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

	// The network delivers an answer twice; the second copy must not reach a later call.
	doTest('accepts an answer once', ['"first"', '"second"', '2 duplicates'], async () => {
		network.setFaults(other.address, host.address, {duplicateAnswers: true});
		const outcomes = [await clock.runUntil(call('first')), await clock.runUntil(call('second'))];
		await clock.advance(10);
		return [...outcomes, `${host.figures.duplicateAnswers} duplicates`];
	});

	doTest('keeps answers apart that the network crosses', ['"first"', '"second"'], async () => {
		network.setFaults(other.address, host.address, {crossAnswers: true});
		return clock.runUntil(Promise.all([call('first'), call('second')]));
	});

	doTest('times out when the answer is lost after its effect', ['sent true: gave no answer to echo: the timeout passed', 'entered'], async () => {
		other.handle('echo', gated.handle);
		network.setFaults(other.address, host.address, {dropAnswers: true});
		const lost = call('first', 5000);
		await clock.runUntil(gated.entered('first'));
		gated.answer('first');
		return [await clock.runUntil(lost), gated.hasEntered('first') ? 'entered' : 'lost'];
	});

	// A report takes 20 s on a healthy peer: it must not be taken for a silent link.
	doTest('keeps a link whose peer answers pings', ['"answer to slow"'], async () => {
		other.handle('echo', gated.handle);
		const slow = call('slow', 30_000);
		await clock.advance(20_000);
		gated.answer('slow');
		return [await clock.runUntil(slow)];
	});

	// The caller was told "not sent" and tried elsewhere: the filing would post twice if the frame, which waited for the
	// link to open, went out after all.
	doTest('never sends a call that timed out while the link opened', ['sent false: gave no answer to echo: the timeout passed', 'stayed behind'], async () => {
		const late = network.addHost('10.0.0.3:7000');
		late.handle('echo', gated.handle);
		network.setFaultsBetween(host.address, late.address, {delayMs: 100});
		const filing = describeOutcome(host.call(late.address, 'echo', 'filing', 50));
		const outcome = await clock.runUntil(filing);
		await clock.advance(2000);
		return [outcome, gated.hasEntered('filing') ? 'ran' : 'stayed behind'];
	});

	// A host stops while another one opens a link to it for a write. At some step of the opening the link is taken after the
	// stop began; the write must then be refused, neither run by what has stopped nor left unsure.
	doTest('neither takes nor leaves unsure what comes on a link that opens during a stop', ['7 refused, 2 answered, 2 taken'], async () => {
		const taken: unknown[] = [];
		const outcomes: string[] = [];
		const handle = async (req: unknown) => {
			taken.push(req);
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
		return [`${refused.length} refused, ${answered.length} answered, ${taken.length} taken`];
	});

	// A host stops while another one calls it every millisecond, so that some call is always on its way. Were the link kept
	// for them, it would never be empty, and its end would leave the last ones unsure.
	doTest('ends a link to a stopping host though calls go on', ['"0"', 'none unsure', 'stopped within 5 ms'], async () => {
		const calls: Array<Promise<string>> = [];
		const goOn = async (ms: number) => {
			for (let passed = 0; passed < ms; passed++) {
				calls.push(call(String(calls.length)));
				await clock.advance(1);
			}
		};

		await goOn(5);
		const startedAt = clock.now();
		const stopping = other.stop().then(() => clock.now() - startedAt);
		await goOn(600);
		const outcomes = await clock.runUntil(Promise.all(calls));
		const unsure = outcomes.filter(outcome => outcome.startsWith('sent true')).length;
		const stopMs = await clock.runUntil(stopping);
		return [outcomes[0], unsure === 0 ? 'none unsure' : `${unsure} unsure`, `stopped within ${Math.max(5, stopMs)} ms`];
	});

	doTest('fails calls at once when the peer is killed, and cannot reach it then', [
		'sent true: gave no answer to echo: connection reset within 2 ms',
		'sent false: gave no answer to echo: connection refused within 2 ms',
		'"again"',
	], async () => {
		other.handle('echo', gated.handle);
		const timed = async (outcome: Promise<string>) => {
			const startedAt = clock.now();
			return `${await clock.runUntil(outcome)} within ${clock.now() - startedAt < 2 ? 2 : 'more than 2'} ms`;
		};

		const cut = call('first');
		await clock.runUntil(gated.entered('first'));
		network.kill(other.address);
		const outcomes = [await timed(cut), await timed(call('second'))];
		network.addHost(other.address).handle('echo', async req => req);
		return [...outcomes, await clock.runUntil(call('again'))];
	});

	// A host is killed behind a cut and started anew: nobody is told that the link has ended. Short questions, one after the
	// other, each time out long before a link counts as silent, and must find out together.
	doTest('gives a lost link up though every call on it is short', ['"first"', '"again"'], async () => {
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

	// The same, asked once only: the link is given up by its own ping, so that the next question needs no second try.
	doTest('gives a lost link up after one short call', ['"first"', 'sent true: gave no answer to echo: the timeout passed', '"again"'], async () => {
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

	// One question of a busy host is answered late, and nobody asks more: its link must not be given up for that.
	doTest('keeps a link on which one short call was answered late', ['sent true: gave no answer to echo: the timeout passed', '0 silent'], async () => {
		other.handle('echo', gated.handle);
		const outcomes = [await clock.runUntil(call('late', 200))];
		gated.answer('late');
		await clock.advance(10_000);
		return [...outcomes, `${host.figures.linksSilent} silent`];
	});

	// A host is paused with a question on its way: the caller is told that it may have run, and on waking it does run.
	doTest('delivers to a paused host when it goes on', [SILENT, NOT_OPEN, '"again"', 'ran late'], async () => {
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
