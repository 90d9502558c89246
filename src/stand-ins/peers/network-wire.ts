import type {PeerChannel} from '../../peers/peer-transport.js';
import type {Clock} from '../../time/clock.js';
import {createAnswerFaults} from './answer-faults.js';

/** What goes wrong with messages in one direction between two hosts. */
export type PeerFaults = {
	/** Nothing arrives, and nobody is told. */
	readonly cut: boolean;
	/** Time added to each message, in milliseconds. */
	readonly delayMs: number;
	/** Calls run, their answers are lost. */
	readonly dropAnswers: boolean;
	/** Each answer arrives twice. */
	readonly duplicateAnswers: boolean;
	/** Answers arrive in pairs, the later one first. */
	readonly crossAnswers: boolean;
};

/** A simulated host as the wire knows it; a host that is started anew is another one. */
export type WireHost = {
	readonly address: string;
	killed: boolean;
	paused: boolean;
	/** What waits for the host to go on. */
	readonly held: Array<() => void>;
	/** Takes the channels that are opened to the host; undefined while it takes none. */
	onChannel?: (channel: PeerChannel) => void;
	/** Called when the host is killed, for each of its channels. */
	readonly onKill: Set<() => void>;
};

/** Carries bytes between simulated hosts. */
export type NetworkWire = {
	addHost(address: string): WireHost;
	/** The host that runs at the address now, undefined where none ever did. */
	getHost(address: string): WireHost | undefined;
	/** Delivers in order, each after the latency, unless a fault says otherwise. */
	send(from: WireHost, to: WireHost, message: Uint8Array, deliver: (message: Uint8Array) => void): void;
	/** Delivers something that is no message: an opening, a ping or a closing; the same cuts, delays and pauses hold. */
	signal(from: WireHost, to: WireHost, deliver: () => void): void;
	setFaults(from: string, to: string, faults: Partial<PeerFaults>): void;
	heal(): void;
	kill(address: string): void;
	pause(address: string): void;
	resume(address: string): void;
};

const NO_FAULTS: PeerFaults = {
	cut: false, delayMs: 0, dropAnswers: false, duplicateAnswers: false, crossAnswers: false,
};

/** Creates a wire on which a message takes `latencyMs`. */
export function createNetworkWire(clock: Clock, latencyMs: number): NetworkWire {
	const hosts = new Map<string, WireHost>();
	const faultsByDirection = new Map<string, PeerFaults>();
	const answerFaults = createAnswerFaults();

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

	const travel = async (from: WireHost, to: WireHost, deliver: () => void) => {
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
			void travel(from, to, deliver);
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
			for (const part of answerFaults.apply(direction, getFaults(from, to), message)) {
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
