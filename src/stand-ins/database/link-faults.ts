import type {Clock} from '../../time/clock.js';
import type {ExchangeKind} from './exchange-kind.js';
import {never} from './never.js';
import {createSignal} from './signal.js';

/** The network between one proxy host and one database server, with its faults. */
export type Link = {
	/** Drops all packets both ways until healed; what was sent meanwhile then arrives. */
	cut(): void;
	heal(): void;
	/** Adds to the latency of every packet, in milliseconds. */
	setDelay(ms: number): void;
	/** Makes the connections open now silent for good; new ones work. */
	silence(): void;
	/** Drops the next `count` answers, of one kind of exchange where it is named, after they took effect. */
	dropAnswers(count: number, kind?: ExchangeKind): void;
	/** @internal Resolves when a packet of a connection opened at the epoch has crossed. */
	carry(epoch: number): Promise<void>;
	/** @internal Counts how often the link's connections were made silent. */
	readonly epoch: number;
	/** @internal */
	takeDroppedAnswer(kind: ExchangeKind): boolean;
};

/** Creates a link without faults whose packets take `latencyMs` one way. */
export function createLink(clock: Clock, latencyMs: number): Link {
	const changed = createSignal();
	let isCut = false;
	let delayMs = 0;
	let epoch = 0;
	let drop: {count: number; kind?: ExchangeKind} = {count: 0};

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
			changed.notify();
		},
		setDelay(ms) {
			delayMs = ms;
		},
		silence() {
			epoch++;
		},
		dropAnswers(count, kind) {
			drop = {count, kind};
		},
		async carry(openedAt) {
			if (latencyMs + delayMs > 0) {
				await clock.sleep(latencyMs + delayMs);
			}

			while (isBlocked()) {
				await changed.wait();
			}

			if (openedAt !== epoch) {
				await never();
			}
		},
		takeDroppedAnswer(kind) {
			if (drop.count === 0 || (drop.kind !== undefined && drop.kind !== kind)) {
				return false;
			}

			drop.count--;
			return true;
		},
	};
}
