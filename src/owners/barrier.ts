import type {Clock} from '../time/clock.js';
import {EndpointRole, type EndpointStatus} from '../endpoints/endpoint.js';
import type {ControlChannel} from '../endpoints/control-channel.js';
import type {LogPosition} from '../terms/log-position.js';

/**
 * Finds a log position that bounds every write acknowledged before the question, by anyone.
 *
 * Argument: let a write be acknowledged in term A before the round began. Had A been above the round's term T, a
 * majority would have promised A by then, and no majority could still show T. If A is T, the primary of T held the
 * write before it showed its position. If A is below T, the promotion of T inherited the write. So the primary's own
 * position covers it. A position that merely some majority holds would not: another majority may have confirmed more.
 */
export type Barrier = {
	/** Joins the next round; undefined where no round succeeded by `deadlineAt`. */
	take(deadlineAt: number): Promise<BarrierFloor | undefined>;
	/** When the last successful round began, and what it found. */
	getLast(): BarrierFloor | undefined;
	stop(): void;
};

/** What a round found. */
export type BarrierFloor = {
	readonly floor: LogPosition;
	/** Name of the primary that showed it. */
	readonly primary: string;
	/** When the round began; every write acknowledged before is covered. */
	readonly takenAt: number;
};

/** What a barrier is made from. */
export type BarrierOptions = {
	readonly clock: Clock;
	/** Names of the group's endpoints; their count decides the majority. */
	getEndpoints(): readonly string[];
	getChannel(endpoint: string): ControlChannel;
	onStatus(endpoint: string, status: EndpointStatus, now: number): void;
	onFailure(endpoint: string, now: number): void;
	onTaken?(floor: BarrierFloor, now: number): void;
};

/** Longest time for one server's part of a round, in milliseconds. */
const STATUS_TIMEOUT_MS = 300;

/** Pause between rounds that found no primary, in milliseconds. */
const RETRY_PAUSE_MS = 25;

type Shown = ReadonlyMap<string, EndpointStatus>;

/** The primary of the highest term shown, if a majority has promised just that term; undefined otherwise. */
export function judgeRound(shown: Shown, majority: number): {primary: string; floor: LogPosition} | undefined {
	for (const [primary, status] of shown) {
		if (status.role !== EndpointRole.Primary || status.log.term !== status.term) {
			continue;
		}

		// Guards against a superseded primary that still believes it leads: its floor would miss newer
		// acknowledged writes and a session would read stale rows. A majority at its term rules that out.
		const atTerm = [...shown.values()].filter(other => other.term === status.term).length;
		if (atTerm >= majority) {
			return {primary, floor: status.log};
		}
	}

	return undefined;
}

/** Creates a barrier; one round serves all who asked before it began. */
export function createBarrier(options: BarrierOptions): Barrier {
	const {clock} = options;
	const unsent = new Map<string, Promise<EndpointStatus>>();
	let running: Promise<BarrierFloor | undefined> | undefined;
	let next: Promise<BarrierFloor | undefined> | undefined;
	let last: BarrierFloor | undefined;
	let stopped = false;

	// Guards against rounds that leave a question each on the channel of a server that went silent: when it comes back,
	// the failover's own would wait behind thousands, and writes with it. A question that is not sent yet serves all
	// rounds that began before it is.
	const askNext = async (endpoint: string) => {
		const waiting = unsent.get(endpoint);
		if (waiting) {
			return waiting;
		}

		const asked = options.getChannel(endpoint).run(async connection => {
			unsent.delete(endpoint);
			return connection.status(STATUS_TIMEOUT_MS);
		});
		unsent.set(endpoint, asked);
		try {
			return await asked;
		} finally {
			if (unsent.get(endpoint) === asked) {
				unsent.delete(endpoint);
			}
		}
	};

	const ask = async (endpoint: string, shown: Map<string, EndpointStatus>) => {
		try {
			const status = await askNext(endpoint);
			shown.set(endpoint, status);
			options.onStatus(endpoint, status, clock.now());
		} catch {
			options.onFailure(endpoint, clock.now());
		}
	};

	// Ends as soon as the answers decide; a silent server delays no round that the others settle.
	const runRound = async () => {
		const takenAt = clock.now();
		const endpoints = options.getEndpoints();
		const majority = Math.floor(endpoints.length / 2) + 1;
		const shown = new Map<string, EndpointStatus>();
		const asked = new Set<Promise<void>>();
		for (const endpoint of endpoints) {
			const answer: Promise<void> = ask(endpoint, shown).finally(() => {
				asked.delete(answer);
			});
			asked.add(answer);
		}

		while (asked.size > 0) {
			await Promise.race(asked);
			const found = judgeRound(shown, majority);
			if (found) {
				last = {...found, takenAt};
				options.onTaken?.(last, clock.now());
				return last;
			}
		}

		return undefined;
	};

	const startRound = async () => {
		running = runRound();
		try {
			return await running;
		} finally {
			running = undefined;
		}
	};

	// A round under way may have asked the primary before the caller's question: only the next one counts.
	const joinNextRound = async () => {
		next ??= (async () => {
			await running;
			next = undefined;
			return startRound();
		})();
		return next;
	};

	return {
		async take(deadlineAt) {
			while (!stopped && clock.now() < deadlineAt) {
				const found = await joinNextRound();
				if (found) {
					return found;
				}

				await clock.sleep(RETRY_PAUSE_MS);
			}

			return undefined;
		},
		getLast: () => last,
		stop() {
			stopped = true;
		},
	};
}
