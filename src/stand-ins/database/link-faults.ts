import type {Clock} from '../../time/clock.js';
import type {ExchangeKind} from './exchange-kind.js';
import {waitForever} from './wait-forever.js';
import {createSignal} from './signal.js';

/** The network link between one proxy host and one database server, with its faults. */
export type Link = {
	/** Blocks all packets in both directions until `heal` is called; those sent meanwhile arrive then. */
	cut(): void;
	heal(): void;
	/** Sets a delay that is added to the latency of every packet, in milliseconds. */
	setDelay(ms: number): void;
	/** Makes the open connections silent for good; new connections work. */
	silence(): void;
	/** Drops the next `count` answers, only those to exchanges of `kind` if it is given. The exchanges take effect. */
	dropAnswers(count: number, kind?: ExchangeKind): void;
	/** @internal Resolves when a packet of a connection that was opened at the epoch has arrived; never if the connection is silent. */
	transmit(epoch: number): Promise<void>;
	/** @internal How often the link's connections have been made silent. */
	readonly epoch: number;
	/** @internal Returns whether the current answer is to be dropped, and counts it if so. */
	consumeDroppedAnswer(kind: ExchangeKind): boolean;
};

/** Creates a link without faults whose packets take `latencyMs` milliseconds in each direction. */
export function createLink(clock: Clock, latencyMs: number): Link {
	const healed = createSignal();
	let isCut = false;
	let delayMs = 0;
	let epoch = 0;
	let answersToDrop: {count: number; kind?: ExchangeKind} = {count: 0};

	const isBlocked = () => isCut;

	return {
		get epoch() {
			return epoch;
		},
		cut() {
			isCut = true;
		},
		heal() {
			isCut = false;
			healed.notify();
		},
		setDelay(ms) {
			delayMs = ms;
		},
		silence() {
			epoch++;
		},
		dropAnswers(count, kind) {
			answersToDrop = {count, kind};
		},
		async transmit(openedAtEpoch) {
			if (latencyMs + delayMs > 0) {
				await clock.sleep(latencyMs + delayMs);
			}

			while (isBlocked()) {
				await healed.wait();
			}

			if (openedAtEpoch !== epoch) {
				await waitForever();
			}
		},
		consumeDroppedAnswer(kind) {
			if (answersToDrop.count === 0 || (answersToDrop.kind !== undefined && answersToDrop.kind !== kind)) {
				return false;
			}

			answersToDrop.count--;
			return true;
		},
	};
}
