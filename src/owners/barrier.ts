import type {Clock} from '../time/clock.js';
import {EndpointRole, type EndpointStatus} from '../endpoints/endpoint.js';
import type {ControlChannel} from '../endpoints/control-channel.js';
import type {LogPosition} from '../terms/log-position.js';

/**
 * Finds a log position that covers every write acknowledged by any owner before the barrier was requested.
 *
 * Proof: let a write be acknowledged in term A before the round began. If A were above the round's term T, a majority
 * would have promised A by then, and no majority could still report T. If A is T, the primary of T held the write before
 * it reported its position. If A is below T, the promotion of T inherited the write. So the primary's own position
 * covers it. A position that merely some majority holds does not: another majority may have confirmed a later one.
 */
export type Barrier = {
	/** Resolves with the result of a round that begins after the call, or with undefined if none succeeds by `deadlineAt`. */
	take(deadlineAt: number): Promise<BarrierFloor | undefined>;
	/** Returns the result of the last successful round; undefined before the first one. */
	getLast(): BarrierFloor | undefined;
	stop(): void;
};

/** The result of a successful round. */
export type BarrierFloor = {
	readonly floor: LogPosition;
	/** Name of the primary that reported the floor. */
	readonly primary: string;
	/** When the round began; the floor covers every write acknowledged before then. */
	readonly takenAt: number;
};

/** Options of {@link createBarrier}. */
export type BarrierOptions = {
	readonly clock: Clock;
	/** Names of the group's endpoints; their count decides the majority. */
	getEndpoints(): readonly string[];
	getChannel(endpoint: string): ControlChannel;
	onStatus(endpoint: string, status: EndpointStatus, now: number): void;
	onFailure(endpoint: string, now: number): void;
	onTaken?(floor: BarrierFloor, now: number): void;
};

/** How long a round waits for one server's status, in milliseconds. */
const STATUS_TIMEOUT_MS = 300;

/** Pause between rounds that found no primary, in milliseconds. */
const RETRY_PAUSE_MS = 25;

type ReportedStatuses = ReadonlyMap<string, EndpointStatus>;

/**
 * Returns the primary whose term a majority has promised, with the end of its log as the floor; undefined if there is none.
 * A primary whose log does not end in its own term yet is left out.
 */
export function evaluateRound(reported: ReportedStatuses, majority: number): {primary: string; floor: LogPosition} | undefined {
	for (const [primary, status] of reported) {
		if (status.role !== EndpointRole.Primary || status.log.term !== status.term) {
			continue;
		}

		// Guards against a superseded primary that does not know of its successor: its floor would miss newer
		// acknowledged writes, and a session would read stale rows. A majority at its term rules that out.
		const atTerm = [...reported.values()].filter(other => other.term === status.term).length;
		if (atTerm >= majority) {
			return {primary, floor: status.log};
		}
	}

	return undefined;
}

/** Creates a barrier; one round serves every `take` called before the round began. */
export function createBarrier(options: BarrierOptions): Barrier {
	const {clock} = options;
	const unsentRequests = new Map<string, Promise<EndpointStatus>>();
	let running: Promise<BarrierFloor | undefined> | undefined;
	let next: Promise<BarrierFloor | undefined> | undefined;
	let last: BarrierFloor | undefined;
	let stopped = false;

	// Guards against status requests that pile up on the channel of a silent server, one for each round: when it responds
	// again, failover's own requests would wait behind thousands of them, and writes with failover. A request that is not
	// sent yet therefore serves every round that begins before it is sent.
	const requestStatus = async (endpoint: string) => {
		const waiting = unsentRequests.get(endpoint);
		if (waiting) {
			return waiting;
		}

		const request = options.getChannel(endpoint).run(async connection => {
			unsentRequests.delete(endpoint);
			return connection.status(STATUS_TIMEOUT_MS);
		});
		unsentRequests.set(endpoint, request);
		try {
			return await request;
		} finally {
			if (unsentRequests.get(endpoint) === request) {
				unsentRequests.delete(endpoint);
			}
		}
	};

	const pollEndpoint = async (endpoint: string, reported: Map<string, EndpointStatus>) => {
		try {
			const status = await requestStatus(endpoint);
			reported.set(endpoint, status);
			options.onStatus(endpoint, status, clock.now());
		} catch {
			options.onFailure(endpoint, clock.now());
		}
	};

	// Returns as soon as the statuses decide the round; a silent server delays no round that the others decide.
	const runRound = async () => {
		const takenAt = clock.now();
		const endpoints = options.getEndpoints();
		const majority = Math.floor(endpoints.length / 2) + 1;
		const reported = new Map<string, EndpointStatus>();
		const pending = new Set<Promise<void>>();
		for (const endpoint of endpoints) {
			const poll: Promise<void> = pollEndpoint(endpoint, reported).finally(() => {
				pending.delete(poll);
			});
			pending.add(poll);
		}

		while (pending.size > 0) {
			await Promise.race(pending);
			const found = evaluateRound(reported, majority);
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

	// A round in progress may have read the primary's status before this call, so only the next round counts.
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
