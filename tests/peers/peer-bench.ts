import {once} from 'node:events';
import {createSilentLog} from '../../src/log/silent-log.js';
import type {LivePeers} from '../../src/peers/create-peers.js';
import {isPeerError} from '../../src/peers/peer-errors.js';
import type {PeerLimits} from '../../src/peers/peer-limits.js';
import {createWsPeers} from '../../src/peers/ws-peers.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createPeerNetwork} from '../../src/stand-ins/peers/in-memory-peers.js';
import {createVirtualClock, type VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

/** The calls that tests of links make. */
declare module '../../src/peers/peer-calls.js' {
	interface PeerCalls {
		echo: {req: unknown; res: unknown};
		unhandled: {req: unknown; res: unknown};
	}
}

/** The key of hosts whose test states none. */
export const PEER_KEY = 'the key of every host in this test';

/** One line that shows how a call ended. */
export async function describeOutcome(call: Promise<unknown>): Promise<string> {
	try {
		return JSON.stringify(await call);
	} catch (err) {
		return isPeerError(err) ? `sent ${err.sent}: ${err.message.replace(/^\S+ /v, '')}` : String(err);
	}
}

/** Creates a handler that answers each question when its test says so. */
export function createGatedHandler() {
	const gates = new Map<unknown, (res: unknown) => void>();
	const arrivals = new EventTarget();

	return {
		handle: async (req: unknown) => new Promise<unknown>(resolve => {
			gates.set(req, resolve);
			arrivals.dispatchEvent(new Event(String(req)));
		}),
		/** Resolves once the question has come. */
		async entered(req: string) {
			if (!gates.has(req)) {
				await once(arrivals, req);
			}
		},
		hasEntered: (req: string) => gates.has(req),
		answer(req: string) {
			gates.get(req)?.(`answer to ${req}`);
		},
	};
}

/** Hosts that call each other in a test, over either implementation. */
export type PeerBench = {
	readonly clock: VirtualClock;
	/** Starts a host. */
	addHost(peerKeys?: readonly string[]): Promise<LivePeers>;
	/** Waits for a promise: real links need real time, simulated ones the virtual clock's. */
	settle<T>(promise: Promise<T>): Promise<T>;
	stop(): Promise<void>;
};

/** Makes a bench, for a table of tests over both implementations. */
export type CreatePeerBench = (limits?: Partial<PeerLimits>) => PeerBench;

/** Creates hosts on loopback; the virtual clock rules their timeouts. */
export const createWsBench: CreatePeerBench = limits => {
	const clock = createVirtualClock();
	const hosts: LivePeers[] = [];

	return {
		clock,
		async addHost(peerKeys = [PEER_KEY]) {
			const host = createWsPeers({
				hostAddress: '127.0.0.1', peerPort: 0, peerKeys, clock, random: createSeededRandom(hosts.length), log: createSilentLog(), limits,
			});
			hosts.push(host);
			await host.start();
			return host;
		},
		settle: async promise => promise,
		async stop() {
			const stopping = Promise.all(hosts.map(async host => host.stop()));
			await clock.advance(10_000);
			await stopping;
		},
	};
};

/** Creates hosts on a simulated network. */
export const createMemoryBench: CreatePeerBench = limits => {
	const clock = createVirtualClock();
	const network = createPeerNetwork(clock, {limits});
	let count = 0;

	return {
		clock,
		async addHost(peerKeys = [PEER_KEY]) {
			count++;
			return network.addHost(`10.0.0.${count}:7000`, peerKeys);
		},
		settle: async promise => clock.runUntil(promise),
		async stop() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	};
};
