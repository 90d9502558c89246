import type {PeerChannel} from '../../peers/peer-transport.js';
import type {Clock} from '../../time/clock.js';
import {createResponseFaults} from './response-faults.js';

/** Faults of messages in one direction between two hosts. */
export type PeerFaults = {
	/** Messages are lost without an error at either host. */
	readonly cut: boolean;
	/** Time added to each message, in milliseconds. */
	readonly delayMs: number;
	/** Calls run, but their responses are lost. */
	readonly dropResponses: boolean;
	/** Each response arrives twice. */
	readonly duplicateResponses: boolean;
	/** Responses arrive in pairs, the later one first. */
	readonly reorderResponses: boolean;
};

/** A simulated host on the wire; a restarted host is a new one. */
export type WireHost = {
	readonly address: string;
	killed: boolean;
	paused: boolean;
	/** Actions that wait until the host is resumed. */
	readonly held: Array<() => void>;
	/** Accepts the channels that are opened to the host; undefined while it accepts none. */
	onChannel?: (channel: PeerChannel) => void;
	/** Called when the host is killed; one for each of its channels. */
	readonly onKill: Set<() => void>;
};

/** Carries bytes between simulated hosts. */
export type NetworkWire = {
	addHost(address: string): WireHost;
	/** Returns the host that was added last at the address, which may have been killed; undefined where none was added. */
	getHost(address: string): WireHost | undefined;
	/** Delivers messages in order, each after the latency, unless a fault changes that. */
	send(from: WireHost, to: WireHost, message: Uint8Array, deliver: (message: Uint8Array) => void): void;
	/** Delivers an event other than a message (opening, ping or closing) under the same cuts, delays and pauses. */
	signal(from: WireHost, to: WireHost, deliver: () => void): void;
	setFaults(from: string, to: string, faults: Partial<PeerFaults>): void;
	heal(): void;
	kill(address: string): void;
	pause(address: string): void;
	resume(address: string): void;
};

const NO_FAULTS: PeerFaults = {
	cut: false, delayMs: 0, dropResponses: false, duplicateResponses: false, reorderResponses: false,
};

/** Creates a wire on which a message takes `latencyMs`. */
export function createNetworkWire(clock: Clock, latencyMs: number): NetworkWire {
	const hosts = new Map<string, WireHost>();
	const faultsByDirection = new Map<string, PeerFaults>();
	const responseFaults = createResponseFaults();

	const getDirection = (from: string, to: string) => `${from}>${to}`;
	const getFaults = (from: WireHost, to: WireHost) => faultsByDirection.get(getDirection(from.address, to.address)) ?? NO_FAULTS;

	const whenRunning = (host: WireHost, action: () => void) => {
		if (host.killed) {
			return;
		}

		if (host.paused) {
			host.held.push(action);
		} else {
			action();
		}
	};

	const deliverAfterLatency = async (from: WireHost, to: WireHost, deliver: () => void) => {
		const {cut, delayMs} = getFaults(from, to);
		if (cut) {
			return;
		}

		await clock.sleep(latencyMs + delayMs);
		if (!getFaults(from, to).cut) {
			whenRunning(to, deliver);
		}
	};

	const signal = (from: WireHost, to: WireHost, deliver: () => void) => {
		whenRunning(from, () => {
			void deliverAfterLatency(from, to, deliver);
		});
	};

	const getHostOrThrow = (address: string) => {
		const host = hosts.get(address);
		if (!host) {
			throw new Error(`no host was added at ${address}`);
		}

		return host;
	};

	return {
		addHost(address) {
			const host: WireHost = {
				address, killed: false, paused: false, held: [], onKill: new Set(),
			};
			hosts.set(address, host);
			return host;
		},
		getHost: address => hosts.get(address),
		signal,
		send(from, to, message, deliver) {
			const direction = getDirection(from.address, to.address);
			for (const part of responseFaults.apply(direction, getFaults(from, to), message)) {
				signal(from, to, () => {
					deliver(part);
				});
			}
		},
		setFaults(from, to, faults) {
			faultsByDirection.set(getDirection(from, to), {...NO_FAULTS, ...faults});
		},
		heal() {
			faultsByDirection.clear();
		},
		kill(address) {
			const host = getHostOrThrow(address);
			for (const breakChannel of host.onKill) {
				breakChannel();
			}

			host.killed = true;
			host.held.length = 0;
		},
		pause(address) {
			getHostOrThrow(address).paused = true;
		},
		resume(address) {
			const host = getHostOrThrow(address);
			host.paused = false;
			for (const action of host.held.splice(0)) {
				action();
			}
		},
	};
}
