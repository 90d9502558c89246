import type {AcquireRequest} from '../links/endpoint-pool.js';
import {SILENT_AFTER_MS} from '../links/endpoint-health.js';
import type {SessionLink} from '../links/link-session.js';
import type {RequestQueue, RequestQueueParts} from '../links/request-queue.js';
import {createLatestStartTimer} from './latest-start-timer.js';
import {createPlaceFiller} from './place-filler.js';
import {createQueueRefusals, type RefusalForecast} from './queue-refusals.js';
import {createRequestTimes} from './request-times.js';
import {hasEnded, type ScheduledRequest} from './scheduled-request.js';
import {RefusalCause, type SchedulingMetrics} from './scheduling-metrics.js';
import type {SlotCharge, UrgencyOrder} from './urgency-order.js';
import {createWaitForecast, type PoolState} from './wait-forecast.js';

/** What a scheduled queue needs. */
export type ScheduledQueueOptions = RequestQueueParts & {
	readonly order: UrgencyOrder;
	readonly metrics?: SchedulingMetrics;
};

/** A request that has a connection. */
type RunningRequest = {
	readonly request: AcquireRequest;
	readonly charge: SlotCharge;
	readonly startedAt: number;
};

/** Minimum interval between two checks for requests that can no longer start in time, in milliseconds: a hopeless one is refused within twice this. */
const CHECK_INTERVAL_MS = 10;

/** Maximum interval between two checks while requests wait, in milliseconds: the limit may have grown, or a connection that the endpoint rejected may be tried again. */
const MAX_CHECK_INTERVAL_MS = 20;

/** A check that is this late, in milliseconds, shows that the process was suspended: no answer could be received in that time. */
const SUSPENDED_AFTER_MS = 250;

/** Priority level for which the wait of a new request is reported: the middle one of the deployments. */
const MEDIUM_LEVEL = 1;

/**
 * Creates a queue that starts requests by urgency as places come free, and refuses those that would start too late.
 *
 * It responds to more work than the endpoint can run. Waiters do not poll: arrivals, releases, openings and one timer drive the queue.
 */
export function createScheduledQueue({target, clock, log, connections, order, metrics}: ScheduledQueueOptions): RequestQueue {
	const {idle, usage, health} = connections;
	const waiting = new Set<ScheduledRequest>();
	const running = new Map<SessionLink, RunningRequest>();
	const times = createRequestTimes();
	const forecast = createWaitForecast(order);
	const refusals = createQueueRefusals(target, log, metrics);
	let arrivals = 0;
	/** Steady time at which a place was last taken or released, or the endpoint last answered. */
	let progressAt = clock.now();
	let checkedAt = Number.NEGATIVE_INFINITY;
	/** Steady time at which the timer is to fire next. */
	let timerDueAt: number | undefined;
	/** Whether requests have arrived or started since the last check, so that others may have to wait longer. */
	let isCheckDue = false;

	/** Returns the number of requests that can be in flight: what the limit allows, or as many as there can be connections. */
	const countPlaces = () => {
		const links = Math.max(connections.all.size + usage.opening, connections.budget.share) - connections.inTransactions;
		return Math.max(1, Math.floor(Math.min(connections.limit, links)));
	};

	const getState = (now: number): PoolState => ({
		places: countPlaces(),
		meanServiceMs: times.meanMs,
		stalledMs: connections.inFlight === 0 ? 0 : Math.max(0, now - progressAt),
		openingMsPerRequest: times.openingMsPerRequest,
	});

	const describe = (level: number, waitMs: number, state: PoolState, now: number): RefusalForecast => ({
		waitMs, drainMs: forecast.predictDrainMs(level, waiting, state, now), turnMs: state.meanServiceMs / state.places, queued: waiting.size, limit: connections.limit,
	});

	const remove = (waiter: ScheduledRequest) => {
		if (waiting.delete(waiter)) {
			metrics?.addQueued(waiter.request.priority, -1);
		}
	};

	const refuse = (waiter: ScheduledRequest, cause: RefusalCause, waitMs: number, now: number) => {
		remove(waiter);
		refusals.refuse(waiter, cause, describe(waiter.request.priority, waitMs, getState(now), now), now);
	};

	/** Charges a request that gets a connection, and returns the connection. */
	const start = (request: AcquireRequest, sessionLink: SessionLink, serviceMs: number, now: number) => {
		running.set(sessionLink, {request, charge: order.charge({request}, serviceMs, now), startedAt: now});
		progressAt = now;
		times.noteStarted();
		return sessionLink;
	};

	/** Learns from a wait. A limit that has changed since the arrival is no error of the model, so the estimate is converted to the present number of places. */
	const learn = ({correctionClass, modelWaitMs, places: placesAtArrival}: ScheduledRequest, waitedMs: number) => {
		forecast.learn(correctionClass, modelWaitMs * placesAtArrival / countPlaces(), waitedMs);
	};

	const startWaiter = (waiter: ScheduledRequest, sessionLink: SessionLink, now: number) => {
		const {
			request, since, predictedWaitMs, serviceMs,
		} = waiter;
		remove(waiter);
		learn(waiter, now - since);
		metrics?.observeScheduledWait(request.priority, predictedWaitMs / 1000, (now - since) / 1000);
		waiter.resolve(start(request, sessionLink, serviceMs, now));
	};

	/** Ends the wait of a request whose caller has left, or whose time has passed, so that it takes no place. */
	const end = (waiter: ScheduledRequest, now: number) => {
		if (waiter.request.isWanted?.() === false) {
			remove(waiter);
			waiter.resolve(undefined);
		} else {
			refuse(waiter, RefusalCause.Expired, 0, now);
		}
	};

	const places = createPlaceFiller({
		connections,
		order,
		waiting,
		getOpeningMs: () => times.openingMs,
		onConnection: startWaiter,
		onEnded: end,
		onOpening(next, now) {
			order.complete(order.charge(next, times.openingMs, now), times.openingMs, now);
			progressAt = now;
		},
	});
	const {fill: dispatch, tryServe} = places;

	const failAll = () => {
		for (const waiter of waiting) {
			remove(waiter);
			metrics?.countQueueRefusal(waiter.request.priority, RefusalCause.Unreachable);
			waiter.resolve(undefined);
		}
	};

	/**
	 * Refuses waiting requests that can no longer start by `until`. Guards against judging by the time of a suspension: the answers that arrived meanwhile are still to be read, so the queue is
	 * taken to have made progress.
	 */
	const check = (now: number) => {
		const wasSuspended = timerDueAt !== undefined && now > timerDueAt + SUSPENDED_AFTER_MS;
		if (wasSuspended) {
			progressAt = now;
			timerDueAt = now;
		}

		checkedAt = now;
		isCheckDue = false;
		for (const waiter of waiting) {
			if (hasEnded(waiter, now)) {
				end(waiter, now);
			}
		}

		// A free place is used whatever the prediction says; otherwise a recovery of the endpoint would not be noticed.
		if (!wasSuspended && waiting.size > 0 && !connections.mayAcquire({single: true})) {
			const learnedClasses = new Set<number>();
			for (const {waiter, waitMs} of forecast.findHopeless([...waiting], getState(now), now)) {
				// Without these, the correction would be learned only from requests that were served, whose waits are shorter. Requests that are refused together have one cause and count once.
				if (!learnedClasses.has(waiter.correctionClass)) {
					learnedClasses.add(waiter.correctionClass);
					learn(waiter, now - waiter.since + waitMs);
				}

				refuse(waiter, RefusalCause.Overtaken, waitMs, now);
			}
		}
	};

	const evaluate = (now: number) => {
		if (connections.retired || health.getSuspicion(now)) {
			// A request that waits at a silent endpoint may be served elsewhere, for example by the endpoint's successor.
			failAll();
			return;
		}

		check(now);
		dispatch(now);
	};

	const getNextAt = () => {
		timerDueAt = undefined;
		if (waiting.size === 0) {
			return undefined;
		}

		const silentAt = health.awaitingSince === undefined ? Number.POSITIVE_INFINITY : health.awaitingSince + SILENT_AFTER_MS + 1;
		let at = Math.min(silentAt, isCheckDue ? checkedAt + CHECK_INTERVAL_MS : clock.now() + MAX_CHECK_INTERVAL_MS);
		for (const {request} of waiting) {
			at = Math.min(at, request.until);
		}

		timerDueAt = Math.max(at, clock.now());
		return timerDueAt;
	};

	const timer = createLatestStartTimer({clock, getNextAt, onDue: evaluate});

	const schedule = (until: number, now: number) => {
		const at = Math.min(until, isCheckDue ? Math.max(now, checkedAt + CHECK_INTERVAL_MS) : Number.POSITIVE_INFINITY);
		timer.schedule(at);
	};

	const enqueue = async (request: AcquireRequest, now: number) => new Promise<SessionLink | undefined>(resolve => {
		if (request.until <= now) {
			resolve(undefined);
			return;
		}

		const waiter: ScheduledRequest = {
			request,
			order: arrivals++,
			since: now,
			serviceMs: times.getExpectedMs(request),
			modelWaitMs: times.openingMs,
			predictedWaitMs: times.openingMs,
			correctionClass: request.priority * 2,
			places: countPlaces(),
			resolve,
		};
		const isFull = !connections.mayAcquire({single: true});
		if (isFull) {
			const {modelMs, waitMs, correctionClass} = forecast.predict(waiter, waiting, getState(now), now);
			waiter.modelWaitMs = modelMs;
			waiter.predictedWaitMs = waitMs;
			waiter.correctionClass = correctionClass;
			if (now + waitMs >= request.until) {
				refuse(waiter, RefusalCause.Predicted, waitMs, now);
				return;
			}
		}

		waiting.add(waiter);
		metrics?.addQueued(request.priority, 1);
		dispatch(now);
		if (waiting.has(waiter)) {
			isCheckDue ||= isFull && waiting.size > 1;
			schedule(request.until, now);
		}
	});

	return {
		get size() {
			return waiting.size;
		},
		get serviceMs() {
			return times.meanMs;
		},
		predictWaitMs(now) {
			const request: AcquireRequest = {
				priority: MEDIUM_LEVEL, until: now, values: new Map(), single: true,
			};
			return connections.mayAcquire({single: true}) ? 0 : forecast.predict({request, order: arrivals}, waiting, getState(now), now).waitMs;
		},
		async acquire(request) {
			const now = clock.now();
			order.noteLevel(request.priority);
			const sessionLink = connections.takeIdle(request);
			if (sessionLink) {
				metrics?.observeScheduledWait(request.priority, 0, 0);
				return start(request, sessionLink, times.getExpectedMs(request), now);
			}

			return health.getSuspicion(now) ? undefined : enqueue(request, now);
		},
		noteReleased(sessionLink) {
			const now = clock.now();
			const ended = running.get(sessionLink);
			if (ended) {
				running.delete(sessionLink);
				const heldMs = now - ended.startedAt;
				const usedMs = ended.request.single ? heldMs : connections.getBusyMs(sessionLink);
				order.complete(ended.charge, usedMs, now);
				times.observe(ended.request, usedMs, !sessionLink.link.closed);
			}

			progressAt = now;
			if (!sessionLink.link.closed) {
				idle.add(sessionLink, now);
			}

			dispatch(now);
		},
		noteOpened(sessionLink, openMs) {
			const now = clock.now();
			times.noteOpened(openMs);
			progressAt = now;
			idle.add(sessionLink, now);
			// The first request of the workspace gets it. Given to another's turn, it would have to be closed again unused, and openings would follow each other without end.
			tryServe(order.getNext(waiting, now, ({request}) => request.workspace === sessionLink.workspace && connections.mayAcquire(request)), now);
			dispatch(now);
		},
		keep(sessionLink) {
			idle.add(sessionLink, clock.now());
			dispatch(clock.now());
		},
		noteClosed() {
			dispatch(clock.now());
		},
		noteAnswered() {
			// The answer may be that to a transaction's statement, which releases no place here but shows that the endpoint makes progress.
			progressAt = clock.now();
			if (waiting.size > 0) {
				dispatch(clock.now());
			}
		},
		failAll,
	};
}
