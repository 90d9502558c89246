import {createPeers, type LivePeers} from '../../peers/create-peers.js';
import type {PeerLimits} from '../../peers/peer-limits.js';
import {createSilentLog} from '../../log/silent-log.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import type {Clock} from '../../time/clock.js';
import {createNetworkWire, type NetworkWire, type PeerFaults} from './network-wire.js';
import {createWireTransport} from './wire-transport.js';

/** Options of a network of simulated hosts. */
export type PeerNetworkOptions = {
	/** One-way latency between two hosts, in milliseconds; default 1. */
	readonly latencyMs?: number;
	/** Peer keys of hosts that are added without any, current key first. */
	readonly peerKeys?: readonly string[];
	readonly limits?: Partial<PeerLimits>;
};

/** Simulated hosts that call each other over the product's peer links, on a network with fault injection. */
export type PeerNetwork = {
	/** Starts a host at `ip:port`, or restarts it after a kill. The returned peers are started; their `start` does nothing. */
	addHost(address: string, peerKeys?: readonly string[]): LivePeers;
	/** Replaces the faults of messages from one host to another, in that direction only. */
	setFaults(from: string, to: string, faults: Partial<PeerFaults>): void;
	/** Replaces the faults of messages between two hosts, in both directions. */
	setFaultsBetween(left: string, right: string, faults: Partial<PeerFaults>): void;
	/** Removes all faults between hosts. */
	heal(): void;
	/** Kills a host immediately: its links break, and nothing that it sends afterwards arrives. */
	kill(address: string): void;
	/** Holds a host's traffic in both directions, as for a paused process; its timers continue. */
	pause(address: string): void;
	/** Resumes a paused host and delivers the held traffic. */
	resume(address: string): void;
};

const DEFAULT_KEYS = ['a peer key for simulated hosts, 32+'];

/** Creates a network without hosts. Messages are encoded with msgpackr, so hosts never share an object. */
export function createPeerNetwork(clock: Clock, options: PeerNetworkOptions = {}): PeerNetwork {
	const wire: NetworkWire = createNetworkWire(clock, options.latencyMs ?? 1);
	let seed = 0;

	return {
		addHost(address, peerKeys = options.peerKeys ?? DEFAULT_KEYS) {
			seed++;
			const transport = createWireTransport(wire, wire.addHost(address));
			const peers = createPeers({
				transport, peerKeys, clock, random: createSeededRandom(seed), log: createSilentLog(), limits: options.limits,
			});
			void peers.start();
			return {...peers, address, async start() {}}; // eslint-disable-line @typescript-eslint/no-empty-function
		},
		setFaults: wire.setFaults,
		setFaultsBetween(left, right, faults) {
			wire.setFaults(left, right, faults);
			wire.setFaults(right, left, faults);
		},
		heal: wire.heal,
		kill: wire.kill,
		pause: wire.pause,
		resume: wire.resume,
	};
}
