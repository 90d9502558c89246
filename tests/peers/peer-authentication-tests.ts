import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {pack, unpack} from 'msgpackr';
import {WebSocket, WebSocketServer} from 'ws';
import {createSilentLog} from '../../src/log/silent-log.js';
import type {Log} from '../../src/log/log.js';
import type {LivePeers} from '../../src/peers/create-peers.js';
import {FrameType} from '../../src/peers/peer-frame.js';
import {createWsPeers} from '../../src/peers/ws-peers.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {startTcpRelay} from '../../src/stand-ins/peers/tcp-relay.js';
import {describeOutcome, PEER_KEY} from './peer-bench.js';

const CALL = {
	type: FrameType.Call, id: 1, kind: 'echo', req: 'stolen',
};
const UNKNOWN_MESSAGE = 'not authenticated: a handshake message that this host does not know';
const NONCE = new Uint8Array(32);

describe('peer authentication', () => {
	const clock = createVirtualClock();
	let host: LivePeers;
	let handled: unknown[];
	let refusals: unknown[];

	const log: Log = {
		...createSilentLog(),
		withPrefix: () => log,
		warn(_sentence, fields) {
			refusals.push(fields?.reason);
		},
	};

	const startHost = async (peerKeys: readonly string[], maxFrameBytes = 4096) => {
		const peers = createWsPeers({
			hostAddress: '127.0.0.1', peerPort: 0, peerKeys, clock, random: createSeededRandom(7), log, limits: {maxFrameBytes},
		});
		peers.handle('echo', async req => {
			handled.push(req);
			return req;
		});
		await peers.start();
		return peers;
	};

	beforeEach(async () => {
		handled = [];
		refusals = [];
		host = await startHost([PEER_KEY]);
	});
	afterEach(async () => {
		await host.stop();
	});

	/** An unauthenticated client sends these messages, each after a response to the previous one, and is disconnected without a call being handled. */
	const doTestUnauthenticated = (title: string, reason: string, getMessages: () => unknown[]) => {
		it(`disconnects an unauthenticated client that ${title}`, async () => {
			const socket = new WebSocket(`ws://${host.address}/peers`);
			const closed = once(socket, 'close');
			await once(socket, 'open');
			for (const message of getMessages()) {
				const answered = once(socket, 'message');
				socket.send(pack(message));
				await Promise.race([answered, closed]);
			}

			await closed;
			expect(handled).to.deep.equal([]);
			expect(refusals).to.deep.equal([reason]);
		});
	};

	const getHello = () => ({
		protocol: 1, nonce: NONCE, from: '10.0.0.9:7000', to: host.address,
	});

	doTestUnauthenticated('calls without a handshake', UNKNOWN_MESSAGE, () => [CALL]);
	doTestUnauthenticated('calls in place of a proof', UNKNOWN_MESSAGE, () => [getHello(), CALL]);
	// Without the check of the proof, the call would be handled after the welcome.
	doTestUnauthenticated('proves another key', 'not authenticated: 10.0.0.9:7000 proved no key that this host holds', () => [getHello(), {proofs: [NONCE]}, CALL]);
	doTestUnauthenticated('uses another protocol version', UNKNOWN_MESSAGE, () => [{...getHello(), protocol: 2}, CALL]);
	doTestUnauthenticated('addresses another host', 'not authenticated: 10.0.0.9:7000 looks for 10.0.0.1:7000 here', () => [{...getHello(), to: '10.0.0.1:7000'}, {proofs: [NONCE]}]);
	doTestUnauthenticated('sends a large message first', 'not authenticated: a handshake message of 2003 bytes', () => ['f'.repeat(2000)]);
	doTestUnauthenticated('sends a message over the limit for frames', 'closed during the handshake: Max payload size exceeded', () => ['f'.repeat(5000)]);

	it('disconnects an unauthenticated client that sends nothing', async () => {
		const socket = new WebSocket(`ws://${host.address}/peers`);
		const closed = once(socket, 'close');
		await once(socket, 'open');
		await clock.advance(1000);
		await closed;
		expect(host.figures.linksRefused).to.equal(1);
	});

	/** A false host responds to the caller's messages; the caller must not send it the call. */
	const doTestFalseHost = (title: string, expected: string, getWelcome: (proof: Uint8Array) => unknown) => {
		it(`sends no call to a false host that ${title}`, async () => {
			const server = new WebSocketServer({host: '127.0.0.1', port: 0});
			await once(server, 'listening');
			const received: unknown[] = [];
			server.on('connection', socket => {
				socket.on('message', data => {
					const message = unpack(data as Uint8Array) as {proofs?: Uint8Array[]};
					received.push(...Object.keys(message));
					socket.send(pack(message.proofs ? getWelcome(message.proofs[0]!) : {nonce: NONCE}));
				});
			});
			const {port} = server.address() as AddressInfo;
			const outcome = await describeOutcome(host.call(`127.0.0.1:${port}`, 'echo', 'secret', 1000));
			server.close();
			expect(outcome).to.equal(`sent false: gave no answer to echo: not authenticated: ${expected.replace('ADDRESS', `127.0.0.1:${port}`)}`);
			expect(received).to.deep.equal(['protocol', 'nonce', 'from', 'to', 'proofs']);
		});
	};

	doTestFalseHost('proves no key', 'ADDRESS proved no key that this host holds', () => ({proof: NONCE}));
	doTestFalseHost('sends the caller\'s own proof back', 'ADDRESS proved no key that this host holds', proof => ({proof}));
	doTestFalseHost('welcomes without a proof', 'a handshake message that this host does not know', () => ({}));

	// An intruder on the network relays a caller's handshake to a host that the caller did not address.
	it('refuses a handshake that was relayed from another address', async () => {
		const caller = await startHost([PEER_KEY]);
		const relay = await startTcpRelay();
		relay.target(host.address);
		const outcome = await describeOutcome(caller.call(relay.address, 'echo', 'secret', 1000));
		relay.stop();
		await caller.stop();
		expect(outcome).to.match(/^sent false: .*closed during the handshake/v);
		expect(handled).to.deep.equal([]);
	});

	// A faulty peer sends more than the maximum size of a frame, which would fill this host's memory.
	it('closes the link of a peer whose frame is over the limit', async () => {
		const caller = await startHost([PEER_KEY], 8192);
		const outcome = await describeOutcome(caller.call(host.address, 'echo', 'f'.repeat(5000), 1000));
		await caller.stop();
		expect(outcome).to.equal('sent true: gave no answer to echo: the link broke');
		expect(handled).to.deep.equal([]);
	});

	it('refuses a caller with a key that was withdrawn', async () => {
		const caller = await startHost(['the key before the previous one']);
		const outcome = await describeOutcome(caller.call(host.address, 'echo', 'secret', 1000));
		await caller.stop();
		expect(outcome).to.match(/^sent false: .*closed during the handshake/v);
	});
});
