import type {Clock} from '../time/clock.js';
import {createDeadlineTimer} from '../time/deadline-timer.js';
import type {EndpointStatus} from '../endpoints/endpoint.js';
import type {ControlChannel} from '../endpoints/control-channel.js';

/** The result of a confirmation. */
export const Confirmation = {
	/** A majority of the group holds the entry under its term, so no later promotion can lack it. */
	Confirmed: 'confirmed',
	/** A majority has promised a higher term, so the entry can no longer be confirmed under its own. */
	Superseded: 'superseded',
	/** Neither was established by the deadline, or the confirmer was stopped. */
	TimedOut: 'timed-out',
} as const;

/** One of the results in {@link Confirmation}. */
export type Confirmation = typeof Confirmation[keyof typeof Confirmation];

/** A log entry to confirm. */
export type ConfirmRequest = {
	readonly term: number;
	readonly position: number;
	/** Endpoint whose answer named the entry; `status` is the one in that answer. */
	readonly reportedBy: string;
	readonly status: EndpointStatus;
	readonly deadlineAt: number;
};

/** Confirms log entries of one group by the statuses that a majority of its endpoints report. */
export type Confirmer = {
	confirm(req: ConfirmRequest): Promise<Confirmation>;
	stop(): void;
};

/** Options of {@link createConfirmer}. */
export type ConfirmerOptions = {
	readonly clock: Clock;
	/** Names of the group's endpoints; their count decides the majority. */
	getEndpoints(): readonly string[];
	getChannel(endpoint: string): ControlChannel;
	onStatus(endpoint: string, status: EndpointStatus, now: number): void;
	onFailure(endpoint: string, now: number): void;
};

/** How long a server may hold a request that waits for a position, in milliseconds. */
const SERVER_WAIT_MS = 400;

/** Time beyond {@link SERVER_WAIT_MS} that the response may take to arrive, in milliseconds. */
const RESPONSE_MARGIN_MS = 200;

/** Pause after a failed exchange, in milliseconds. */
const FAILURE_PAUSE_MS = 50;

type Waiter = {
	readonly term: number;
	readonly position: number;
	readonly holding: Set<string>;
	readonly superseding: Set<string>;
	readonly deadlineAt: number;
	resolve(end: Confirmation): void;
};

/**
 * Returns whether a status proves that its server holds the entry under the entry's term.
 *
 * Guards against counting the divergent log tail of a fenced server: after a promotion such a server may have promised
 * the new term and report a high position, and yet lack the entry. The effect would be an acknowledged write that the
 * next promotion loses. The log's last entry must therefore be of the same term: since a primary's first entry of a term
 * follows all that it inherited, a log that ends in this term at or past the position contains the entry.
 */
export function isHolding(status: EndpointStatus, term: number, position: number): boolean {
	return status.term === term && status.log.term === term && status.log.position >= position;
}

/** Creates a confirmer; it sends nothing while no confirmation is pending. */
export function createConfirmer(options: ConfirmerOptions): Confirmer {
	const {clock} = options;
	const waiters = new Set<Waiter>();
	const running = new Set<string>();
	let stopped = false;
	let timerAt = Infinity;

	const getMajority = () => Math.floor(options.getEndpoints().length / 2) + 1;

	const count = (waiter: Waiter, endpoint: string, status: EndpointStatus) => {
		if (isHolding(status, waiter.term, waiter.position)) {
			waiter.holding.add(endpoint);
		}

		if (status.term > waiter.term) {
			waiter.superseding.add(endpoint);
		}

		if (waiter.holding.size >= getMajority()) {
			waiter.resolve(Confirmation.Confirmed);
		} else if (waiter.superseding.size >= getMajority()) {
			waiter.resolve(Confirmation.Superseded);
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
			const open = !waiter.holding.has(endpoint) && !waiter.superseding.has(endpoint);
			if (open && (!next || waiter.position < next.position)) {
				next = waiter;
			}
		}

		return next;
	};

	const exchange = async (endpoint: string, waiter: Waiter) => {
		try {
			const status = await options.getChannel(endpoint).run(async connection =>
				connection.waitFor(waiter, SERVER_WAIT_MS, SERVER_WAIT_MS + RESPONSE_MARGIN_MS));
			options.onStatus(endpoint, status, clock.now());
			countAll(endpoint, status);
		} catch {
			options.onFailure(endpoint, clock.now());
			await clock.sleep(FAILURE_PAUSE_MS);
		}
	};

	// Runs one task per endpoint while anything waits; each status counts for every waiter.
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
				waiter.resolve(Confirmation.TimedOut);
			} else {
				nextAt = Math.min(nextAt, waiter.deadlineAt);
			}
		}

		setTimer(nextAt);
	};

	// One timer serves all waiters: a timer each would cost more than the confirmation itself.
	const deadlines = createDeadlineTimer(clock, expire);

	const setTimer = (at: number) => {
		timerAt = at;
		if (at !== Infinity) {
			deadlines.set(at);
		}
	};

	const addWaiter = async (req: ConfirmRequest) => new Promise<Confirmation>(resolve => {
		const waiter: Waiter = {
			term: req.term,
			position: req.position,
			holding: new Set(),
			superseding: new Set(),
			deadlineAt: req.deadlineAt,
			resolve(end) {
				waiters.delete(waiter);
				resolve(end);
			},
		};
		waiters.add(waiter);
		count(waiter, req.reportedBy, req.status);
		if (!waiters.has(waiter)) {
			return;
		}

		if (req.deadlineAt < timerAt) {
			setTimer(req.deadlineAt);
		}

		for (const endpoint of options.getEndpoints()) {
			void watchEndpoint(endpoint);
		}
	});

	return {
		confirm: addWaiter,
		stop() {
			stopped = true;
			deadlines.stop();
			for (const waiter of waiters) {
				waiter.resolve(Confirmation.TimedOut);
			}
		},
	};
}
