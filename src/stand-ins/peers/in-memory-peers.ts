import {createPeers, type LivePeers} from '../../peers/create-peers.js';
import type {PeerLimits} from '../../peers/peer-limits.js';
import {createSilentLog} from '../../log/silent-log.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import type {Clock} from '../../time/clock.js';
import {createNetworkWire, type NetworkWire, type PeerFaults} from './network-wire.js';
import {createWireTransport} from './wire-transport.js';

/** What a network of simulated hosts may be told. */
export type PeerNetworkOptions = {
	/** Time a message takes from host to host, in milliseconds. */
	readonly latencyMs?: number;
	/** Keys of hosts that state none, current first. */
	readonly peerKeys?: readonly string[];
	readonly limits?: Partial<PeerLimits>;
};

/** Simulated hosts that call each other over the project's own links, with a network that fails on demand. */
export type PeerNetwork = {
	/** Starts a host at `ip:port`, or starts it anew after a kill; `start` of its peers does nothing more. */
	addHost(address: string, peerKeys?: readonly string[]): LivePeers;
	/** Sets what goes wrong with messages from one host to the other, in that direction alone; replaces what was set. */
	setFaults(from: string, to: string, faults: Partial<PeerFaults>): void;
	/** Sets faults in both directions. */
	setFaultsBetween(left: string, right: string, faults: Partial<PeerFaults>): void;
	/** Ends every fault between hosts. */
	heal(): void;
	/** Kills a host at once: its links break, nothing it does afterwards reaches anyone. */
	kill(address: string): void;
	/** Stops a host's traffic as a paused process would: what comes for it and from it waits. Its timers go on. */
	pause(address: string): void;
	/** Lets a paused host go on; what waited is delivered. */
	resume(address: string): void;
};

const DEFAULT_KEYS = ['a peer key for simulated hosts, 32+'];

/** Creates a network without hosts; messages pass through msgpackr, so hosts never share an object. */
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
