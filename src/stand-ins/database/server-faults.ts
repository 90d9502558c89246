import type {ExchangeKind} from './exchange-kind.js';
import {createSignal} from './signal.js';

/** The faults of one server that can be switched while it runs. */
export type ServerFaults = {
	readonly killed: boolean;
	readonly frozen: boolean;
	/** How long every answer is held, in milliseconds. */
	readonly answerDelayMs: number;
	/** Resolves at the next change of any fault. */
	changed(): Promise<void>;
	setKilled(killed: boolean): void;
	/** Pauses everything within the server; what arrives waits. */
	freeze(): void;
	/** Lets the server go on where it was. */
	thaw(): void;
	/** Drops all packets to and from the named hosts and servers, or everyone. */
	cut(names?: readonly string[]): void;
	/** Ends every cut; what was sent meanwhile arrives. */
	heal(): void;
	isCutFrom(name: string): boolean;
	/** Holds every answer for `ms` milliseconds from now on; 0 ends it. */
	delayAnswers(ms: number): void;
	/** Drops the next `count` answers, of one kind of exchange where it is named, after they took effect. */
	dropAnswers(count: number, kind?: ExchangeKind): void;
	/** Tells whether to drop the answer at hand, and counts it. */
	takeDroppedAnswer(kind: ExchangeKind): boolean;
};

/** Creates the switches of a server without faults. */
export function createServerFaults(onChange: () => void): ServerFaults {
	const signal = createSignal();
	const cutNames = new Set<string>();
	let killed = false;
	let frozen = false;
	let cutFromAll = false;
	let answerDelayMs = 0;
	let drop: {count: number; kind?: ExchangeKind} = {count: 0};

	const changed = () => {
		signal.notify();
		onChange();
	};

	const setFrozen = (value: boolean) => {
		frozen = value;
		changed();
	};

	return {
		get killed() {
			return killed;
		},
		get frozen() {
			return frozen;
		},
		get answerDelayMs() {
			return answerDelayMs;
		},
		changed: async () => signal.wait(),
		setKilled(value) {
			killed = value;
			changed();
		},
		freeze() {
			setFrozen(true);
		},
		thaw() {
			setFrozen(false);
		},
		cut(names) {
			cutFromAll ||= names === undefined;
			for (const name of names ?? []) {
				cutNames.add(name);
			}

			changed();
		},
		heal() {
			cutFromAll = false;
			cutNames.clear();
			changed();
		},
		isCutFrom: name => cutFromAll || cutNames.has(name),
		delayAnswers(ms) {
			answerDelayMs = ms;
		},
		dropAnswers(count, kind) {
			drop = {count, kind};
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
