import {once} from 'node:events';
import {createSilentLog} from '../../src/log/silent-log.js';
import type {LivePeers} from '../../src/peers/create-peers.js';
import {isPeerError} from '../../src/peers/peer-errors.js';
import type {PeerLimits} from '../../src/peers/peer-limits.js';
import {createWsPeers} from '../../src/peers/ws-peers.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createPeerNetwork} from '../../src/stand-ins/peers/in-memory-peers.js';
import {createVirtualClock, type VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

/** The kinds of call in tests of links. */
declare module '../../src/peers/peer-calls.js' {
	interface PeerCalls {
		echo: {req: unknown; res: unknown};
		unhandled: {req: unknown; res: unknown};
	}
}

/** The default key of hosts. */
export const PEER_KEY = 'the key of every host in this test';

/** Describes the outcome of a call in one line. */
export async function describeOutcome(call: Promise<unknown>): Promise<string> {
	try {
		return JSON.stringify(await call);
	} catch (err) {
		return isPeerError(err) ? `sent ${err.sent}: ${err.message.replace(/^\S+ /v, '')}` : String(err);
	}
}

/** Creates a handler that responds to each request when the test calls `answer`. */
export function createGatedHandler() {
	const gates = new Map<unknown, (res: unknown) => void>();
	const arrivals = new EventTarget();

	return {
		handle: async (req: unknown) => new Promise<unknown>(resolve => {
			gates.set(req, resolve);
			arrivals.dispatchEvent(new Event(String(req)));
		}),
		/** Resolves once the request has arrived. */
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

/** A test bench of hosts that call each other, over either implementation. */
export type PeerBench = {
	readonly clock: VirtualClock;
	/** Starts a host. */
	addHost(peerKeys?: readonly string[]): Promise<LivePeers>;
	/** Waits for a promise: in real time on real links, on the virtual clock on simulated ones. */
	waitFor<T>(promise: Promise<T>): Promise<T>;
	stop(): Promise<void>;
};

/** Creates a bench; there is one such function for each implementation. */
export type CreatePeerBench = (limits?: Partial<PeerLimits>) => PeerBench;

/** Creates hosts on loopback, whose timeouts follow the virtual clock. */
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
		waitFor: async promise => promise,
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
		waitFor: async promise => clock.runUntil(promise),
		async stop() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	};
};
