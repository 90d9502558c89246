import type {ExchangeKind} from './exchange-kind.js';
import {createSignal} from './signal.js';

/** The faults of one server, which can be changed while it runs. */
export type ServerFaults = {
	readonly killed: boolean;
	readonly frozen: boolean;
	/** Delay of every answer, in milliseconds. */
	readonly answerDelayMs: number;
	/** Resolves at the next change of any fault. */
	changed(): Promise<void>;
	setKilled(killed: boolean): void;
	/** Pauses the server; whatever arrives waits. */
	freeze(): void;
	/** Resumes the server where it was paused. */
	thaw(): void;
	/** Blocks all packets to and from the named hosts and servers, or to and from all of them. */
	cut(names?: readonly string[]): void;
	/** Ends every cut; the packets that were sent meanwhile arrive. */
	heal(): void;
	isCutFrom(name: string): boolean;
	/** Delays every later answer by `ms` milliseconds; 0 ends the delay. */
	delayAnswers(ms: number): void;
	/** Drops the next `count` answers, only those to exchanges of `kind` if it is given. The exchanges take effect. */
	dropAnswers(count: number, kind?: ExchangeKind): void;
	/** Returns whether the current answer is to be dropped, and counts it if so. */
	consumeDroppedAnswer(kind: ExchangeKind): boolean;
};

/** Creates the faults of a server, none of which is active. */
export function createServerFaults(onChange: () => void): ServerFaults {
	const signal = createSignal();
	const cutNames = new Set<string>();
	let killed = false;
	let frozen = false;
	let cutFromAll = false;
	let answerDelayMs = 0;
	let answersToDrop: {count: number; kind?: ExchangeKind} = {count: 0};

	const notifyChanged = () => {
		signal.notify();
		onChange();
	};

	const setFrozen = (value: boolean) => {
		frozen = value;
		notifyChanged();
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
			notifyChanged();
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

			notifyChanged();
		},
		heal() {
			cutFromAll = false;
			cutNames.clear();
			notifyChanged();
		},
		isCutFrom: name => cutFromAll || cutNames.has(name),
		delayAnswers(ms) {
			answerDelayMs = ms;
		},
		dropAnswers(count, kind) {
			answersToDrop = {count, kind};
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
