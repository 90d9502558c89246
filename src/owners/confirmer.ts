import type {Clock} from '../time/clock.js';
import {createDeadlineTimer} from '../time/deadline-timer.js';
import type {EndpointStatus} from '../endpoints/endpoint.js';
import type {ControlChannel} from '../endpoints/control-channel.js';

/** How a confirmation ended. */
export const Confirmation = {
	/** A majority of the group holds the entry under its term: no later promotion can be without it. */
	Confirmed: 'confirmed',
	/** A majority has promised a higher term: this entry can no longer be confirmed under its own. */
	Superseded: 'superseded',
	/** Neither was shown in time. */
	TimedOut: 'timed-out',
} as const;

/** One of the ends in {@link Confirmation}. */
export type Confirmation = typeof Confirmation[keyof typeof Confirmation];

/** An entry to be confirmed. */
export type ConfirmRequest = {
	readonly term: number;
	readonly position: number;
	/** Endpoint whose answer named the entry, with the status it showed in that answer. */
	readonly shownBy: string;
	readonly status: EndpointStatus;
	readonly deadlineAt: number;
};

/** Confirms log entries of one group by what a majority of its endpoints show. */
export type Confirmer = {
	confirm(req: ConfirmRequest): Promise<Confirmation>;
	stop(): void;
};

/** What a confirmer is made from. */
export type ConfirmerOptions = {
	readonly clock: Clock;
	/** Names of the group's endpoints; their count decides the majority. */
	getEndpoints(): readonly string[];
	getChannel(endpoint: string): ControlChannel;
	onStatus(endpoint: string, status: EndpointStatus, now: number): void;
	onFailure(endpoint: string, now: number): void;
};

/** How long a server may hold a wait for a position, in milliseconds. */
const WAIT_MS = 400;

/** Added to the wait for the answer's way back, in milliseconds. */
const ANSWER_MARGIN_MS = 200;

/** Pause after a failed exchange, in milliseconds. */
const FAILURE_PAUSE_MS = 50;

type Waiter = {
	readonly term: number;
	readonly position: number;
	readonly holding: Set<string>;
	readonly passed: Set<string>;
	readonly deadlineAt: number;
	settle(end: Confirmation): void;
};

/**
 * Tells whether a server holds the entry under its term, by one answer of the server.
 *
 * Guards against counting a fenced server's divergent tail: after a promotion such a server may have promised the
 * new term and show a high position, and yet lack the entry. It would show up as an acknowledged write that the next
 * promotion loses. Since the log's last entry must be of the same term, and a primary's first entry of a term follows
 * all that it inherited, a log that ends in this term at or past the position contains the entry.
 */
export function isHolding(status: EndpointStatus, term: number, position: number): boolean {
	return status.term === term && status.log.term === term && status.log.position >= position;
}

/** Creates a confirmer; it exchanges nothing while nothing waits. */
export function createConfirmer(options: ConfirmerOptions): Confirmer {
	const {clock} = options;
	const waiters = new Set<Waiter>();
	const running = new Set<string>();
	let stopped = false;
	let watchedUntil = Infinity;

	const getMajority = () => Math.floor(options.getEndpoints().length / 2) + 1;

	const count = (waiter: Waiter, endpoint: string, status: EndpointStatus) => {
		if (isHolding(status, waiter.term, waiter.position)) {
			waiter.holding.add(endpoint);
		}

		if (status.term > waiter.term) {
			waiter.passed.add(endpoint);
		}

		if (waiter.holding.size >= getMajority()) {
			waiter.settle(Confirmation.Confirmed);
		} else if (waiter.passed.size >= getMajority()) {
			waiter.settle(Confirmation.Superseded);
		}
	};

	const countAll = (endpoint: string, status: EndpointStatus) => {
		for (const waiter of waiters) {
			count(waiter, endpoint, status);
		}
	};

	const getNextWaiter = (endpoint: string) => {
		let next: Waiter | undefined;
		for (const waiter of waiters) {
			const open = !waiter.holding.has(endpoint) && !waiter.passed.has(endpoint);
			if (open && (!next || waiter.position < next.position)) {
				next = waiter;
			}
		}

		return next;
	};

	const exchange = async (endpoint: string, waiter: Waiter) => {
		try {
			const status = await options.getChannel(endpoint).run(async connection =>
				connection.waitFor(waiter, WAIT_MS, WAIT_MS + ANSWER_MARGIN_MS));
			options.onStatus(endpoint, status, clock.now());
			countAll(endpoint, status);
		} catch {
			options.onFailure(endpoint, clock.now());
			await clock.sleep(FAILURE_PAUSE_MS);
		}
	};

	// One task an endpoint while anything waits; each answer counts for every waiter at once.
	const watchEndpoint = async (endpoint: string) => {
		if (running.has(endpoint)) {
			return;
		}

		running.add(endpoint);
		try {
			for (let next = getNextWaiter(endpoint); next && !stopped; next = getNextWaiter(endpoint)) {
				await exchange(endpoint, next);
			}
		} finally {
			running.delete(endpoint);
		}
	};

	const expire = () => {
		const now = clock.now();
		let nextAt = Infinity;
		for (const waiter of waiters) {
			if (waiter.deadlineAt <= now) {
				waiter.settle(Confirmation.TimedOut);
			} else {
				nextAt = Math.min(nextAt, waiter.deadlineAt);
			}
		}

		watchUntil(nextAt);
	};

	// One watch for all that wait: a timer for each would cost more than its confirmation.
	const deadlines = createDeadlineTimer(clock, expire);

	const watchUntil = (at: number) => {
		watchedUntil = at;
		if (at !== Infinity) {
			deadlines.set(at);
		}
	};

	const waitForEnd = async (req: ConfirmRequest) => new Promise<Confirmation>(resolve => {
		const waiter: Waiter = {
			term: req.term,
			position: req.position,
			holding: new Set(),
			passed: new Set(),
			deadlineAt: req.deadlineAt,
			settle(end) {
				waiters.delete(waiter);
				resolve(end);
			},
		};
		waiters.add(waiter);
		count(waiter, req.shownBy, req.status);
		if (!waiters.has(waiter)) {
			return;
		}

		if (req.deadlineAt < watchedUntil) {
			watchUntil(req.deadlineAt);
		}

		for (const endpoint of options.getEndpoints()) {
			void watchEndpoint(endpoint);
		}
	});

	return {
		confirm: waitForEnd,
		stop() {
			stopped = true;
			deadlines.stop();
			for (const waiter of waiters) {
				waiter.settle(Confirmation.TimedOut);
			}
		},
	};
}
