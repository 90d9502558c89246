import {createSleepAlarm} from '../time/sleep-alarm.js';
import {
	chooseWaiter, getNextWaiter, getUnservedWaiters, type Waiter,
} from './choose-waiter.js';
import type {AcquireRequest} from './endpoint-pool.js';
import type {SessionLink} from './link-session.js';
import {heldPositionAtOpen} from './open-checked-link.js';
import type {RequestQueue, RequestQueueParts} from './request-queue.js';

/** Interval at which a waiter checks whether a connection may be opened, in milliseconds. */
const WAITER_POLL_INTERVAL_MS = 30;

/** Maximum number of workspaces that are passed over at once because no connection may be opened for them, so that the cost stays bounded where many wait. */
const MAX_PASSED_OVER = 4;

/** Creates a queue whose requests wait until their time is over, by priority, then by connections in use of the workspace, then in order of arrival. */
export function createArrivalQueue({clock, connections}: RequestQueueParts): RequestQueue {
	const {idle, usage, health, policy, mayAcquire} = connections;
	let waiters: Waiter[] = [];
	let order = 0;

	const assignTo = (waiter: Waiter, sessionLink: SessionLink) => {
		if (heldPositionAtOpen(sessionLink.link, waiter.minPosition)) {
			waiters = waiters.filter(other => other !== waiter);
			waiter.resolve(connections.noteAcquired(sessionLink, waiter));
		} else {
			sessionLink.link.cut();
		}
	};

	/** Returns the waiters that may acquire a connection which is neither acquired nor idle. */
	const getWaitersFor = ({link}: SessionLink) => waiters.filter(request => !link.closed && mayAcquire(request, connections.inFlight - 1));

	const assignOrKeepIdle = (sessionLink: SessionLink) => {
		const waiter = chooseWaiter(getWaitersFor(sessionLink), sessionLink.workspace, usage.count, clock.now());
		if (waiter) {
			assignTo(waiter, sessionLink);
			return;
		}

		idle.add(sessionLink, clock.now());
		openForWaiters();
	};

	/** Assigns an idle connection that was held back from a transaction, once another one may be opened. */
	const serveIdle = () => {
		const waiter = waiters.find(request => mayAcquire(request) && idle.has(request.workspace));
		const sessionLink = waiter && idle.take(waiter.values, waiter.workspace);
		if (sessionLink) {
			assignTo(waiter, sessionLink);
		}
	};

	/** Returns the waiter whose turn it is, out of those for which a connection is to be opened and none is under way. */
	const getUnserved = (denied: ReadonlySet<string | undefined>) => {
		const unserved = getUnservedWaiters(waiters.filter(request => mayAcquire(request) && !denied.has(request.workspace)), usage.openingFor);
		return getNextWaiter(policy.chooseOpenings(unserved, clock.now()), usage.count);
	};

	/** Removes and returns an idle connection of the request's workspace that is still open. */
	const takeOwnIdle = ({values, workspace}: AcquireRequest) => {
		let taken = idle.take(values, workspace);
		while (taken?.link.closed) {
			taken = idle.take(values, workspace);
		}

		return taken;
	};

	const openForWaiters = () => {
		const denied = new Set<string | undefined>();
		for (let next = getUnserved(denied); next && !connections.retired; next = getUnserved(denied)) {
			const own = policy.sparesOpenings ? takeOwnIdle(next) : undefined;
			if (own) {
				assignTo(next, own);
			} else if (!connections.tryOpen(next.workspace)) {
				if (!policy.sparesOpenings || idle.size === 0 || denied.size >= MAX_PASSED_OVER) {
					return;
				}

				denied.add(next.workspace);
			}
		}
	};

	/** Waits for a connection, and keeps trying to open one while the endpoint rejects connections. */
	const wait = async (request: AcquireRequest): Promise<SessionLink | undefined> => {
		const alarm = createSleepAlarm();
		let assigned: SessionLink | undefined;
		let done = false;
		const waiter: Waiter = {
			...request,
			order: order++,
			since: clock.now(),
			resolve(sessionLink) {
				assigned = sessionLink;
				done = true;
				alarm.abort();
			},
		};
		waiters.push(waiter);
		waiters.sort((left, right) => left.priority - right.priority || left.order - right.order);
		// A request that waits at a silent endpoint may be served elsewhere, for example by the endpoint's successor.
		while (!done && clock.now() < request.until && !connections.retired && !health.getSuspicion(clock.now())) {
			serveIdle();
			openForWaiters();
			await clock.sleep(Math.min(WAITER_POLL_INTERVAL_MS, request.until - clock.now()), alarm);
		}

		if (!done) {
			waiters = waiters.filter(other => other !== waiter);
		}

		return assigned;
	};

	return {
		get size() {
			return waiters.length;
		},
		serviceMs: 0,
		predictWaitMs: () => 0,
		acquire: async request => connections.takeIdle(request) ?? wait(request),
		noteReleased(sessionLink) {
			if (sessionLink.link.closed) {
				openForWaiters();
			} else {
				assignOrKeepIdle(sessionLink);
			}
		},
		/**
		 * Assigns a new connection to a waiter of the workspace for which it was opened, if there is one. Guards against opening connections in an endless loop: assigned
		 * to the waiter whose turn it is by then, of another workspace, the connection would have to be closed again unused.
		 */
		noteOpened(sessionLink) {
			const own = getNextWaiter(getWaitersFor(sessionLink).filter(({workspace}) => workspace === sessionLink.workspace), usage.count);
			if (own) {
				assignTo(own, sessionLink);
			} else {
				assignOrKeepIdle(sessionLink);
			}
		},
		keep: assignOrKeepIdle,
		noteClosed: openForWaiters,
		noteAnswered() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		failAll() {
			for (const waiter of waiters.splice(0)) {
				waiter.resolve(undefined);
			}
		},
	};
}
