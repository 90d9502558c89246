import {AnswerCode} from '../statements/statement-answer.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import {createCongestionWindow} from './congestion-window.js';
import {createEndpointHealth} from './endpoint-health.js';
import type {LinkListener} from './endpoint-link.js';
import type {EndpointPool, EndpointPoolOptions, AcquireRequest} from './endpoint-pool.js';
import {createIdleLinks} from './idle-links.js';
import {createLinkBudget} from './link-budget.js';
import {getUnservedWaiters, type Waiter} from './choose-waiter.js';
import {LongestIdlePolicy, type ConnectionPolicy} from './connection-policy.js';
import {isLimitReached, isLinkRefused} from './link-errors.js';
import {createSessionLink, type SessionLink} from './link-session.js';
import {heldPositionAtOpen, openCheckedLink} from './open-checked-link.js';
import {ArrivalOrder} from './waiter-order.js';
import {createWorkspaceUsage} from './workspace-usage.js';

/**
 * Timeout for opening a connection, in milliseconds. Opening takes 12 ms and a slot of the endpoint, so it queues behind
 * statements; a caller's own statement is bounded at about 1,000 ms.
 */
const OPEN_TIMEOUT_MS = 1500;

/** Creates a pool without connections. */
export function createEndpointPool(options: EndpointPoolOptions): EndpointPool {
	const {target, clock, log, getLimits} = options;
	const health = createEndpointHealth();
	const budget = createLinkBudget(getLimits);
	const congestion = options.window ?? createCongestionWindow();
	const waiterOrder = options.order ?? new ArrivalOrder();
	const connections: ConnectionPolicy = options.connections ?? new LongestIdlePolicy();
	const all = new Set<SessionLink>();
	const inTransactions = new Set<SessionLink>();
	const idle = createIdleLinks();
	let waiters: Waiter[] = [];
	const usage = createWorkspaceUsage();
	let order = 0;
	/** Whether an idle connection is being closed to be replaced by a new one at once. */
	let isEvicting = false;
	let retired = false;
	let refusedSince: number | undefined;
	let suspectRetriedAt = Number.NEGATIVE_INFINITY;

	const noteIfNothingPending = () => {
		if (usage.opening === 0 && ![...all].some(({link}) => link.pending > 0)) {
			health.noteNothingPending();
		}
	};

	const listener: LinkListener = {
		onSent() {
			health.noteSent(clock.now());
		},
		onReceived() {
			health.noteReceived(clock.now());
			noteIfNothingPending();
		},
		onAnswered(isRejected) {
			if (isRejected) {
				congestion.noteRejected(countInFlight(), clock.now());
			} else {
				congestion.noteServed();
			}
		},
	};

	/** Counts connections that serve single statements or are being opened; one that is idle in a transaction takes no slot of the endpoint. */
	const countInFlight = () => all.size - idle.size - inTransactions.size + usage.opening;

	/** Opens a connection and keeps it in the pool until it closes. */
	const openLink = async (timeoutMs: number, workspace: string | undefined) => {
		const startedAt = clock.now();
		usage.noteOpening(workspace);
		connections.events?.noteOpening(workspace);
		listener.onSent();
		let opened = false;
		try {
			const link = await openCheckedLink(options, workspace, timeoutMs, listener);
			const sessionLink = createSessionLink(link, workspace);
			all.add(sessionLink);
			connections.events?.noteOpened(sessionLink, clock.now() - startedAt, clock.now());
			link.onClose(() => {
				connections.events?.noteClosed(sessionLink);
				all.delete(sessionLink);
				inTransactions.delete(sessionLink);
				if (!isEvicting) {
					openForWaiters();
				}
			});
			opened = true;
			return sessionLink;
		} catch (err) {
			connections.events?.noteOpenFailed(workspace, isLimitReached(err), clock.now());
			noteOpenFailed(err);
			throw err;
		} finally {
			usage.noteOpeningEnded(workspace);
			if (opened) {
				noteIfNothingPending();
			}
		}
	};

	/**
	 * Guards single statements against idle transactions: where no further connection may be opened, transactions leave one connection to single statements. A hundred
	 * callers that each idled in a transaction for 3 s took every connection of a primary, and reads and writes of 15 ms waited until their deadline.
	 */
	const mayAcquire = ({single}: AcquireRequest, inFlight = countInFlight()) => {
		if (inFlight >= congestion.size) {
			return false;
		}

		const left = all.size - inTransactions.size - 1;
		return single || left > 0 || all.size <= 1 || budget.mayOpen(clock.now(), all.size + usage.opening);
	};

	/**
	 * Guards against connections to an incarnation of the endpoint that lost its log. They were opened to what seemed a replica, before this host knew that the
	 * previous incarnation is recorded as the primary. A primary's own connections that are older than its promotion are also reopened, once.
	 */
	const cutStaleIdle = ({minPosition}: AcquireRequest) => {
		idle.cutWhere(({link}) => !heldPositionAtOpen(link, minPosition));
	};

	const noteAcquired = (sessionLink: SessionLink, {single}: AcquireRequest) => {
		usage.noteAcquired(sessionLink.workspace);
		connections.events?.noteAcquired(sessionLink, single, clock.now());
		if (!single) {
			inTransactions.add(sessionLink);
		}

		return sessionLink;
	};

	const takeIdle = (request: AcquireRequest) => {
		cutStaleIdle(request);
		const taken = mayAcquire(request) ? idle.take(request.values, request.workspace) : undefined;
		return taken && noteAcquired(taken, request);
	};

	const assignTo = (waiter: Waiter, sessionLink: SessionLink) => {
		if (heldPositionAtOpen(sessionLink.link, waiter.minPosition)) {
			waiters = waiters.filter(other => other !== waiter);
			waiter.resolve(noteAcquired(sessionLink, waiter));
		} else {
			sessionLink.link.cut();
		}
	};

	/** Returns the waiters that may acquire a connection which is neither acquired nor idle. */
	const getWaitersFor = ({link}: SessionLink) => waiters.filter(request => !link.closed && mayAcquire(request, countInFlight() - 1));

	const assignOrKeepIdle = (sessionLink: SessionLink) => {
		const waiter = waiterOrder.choose(getWaitersFor(sessionLink), sessionLink.workspace, usage.count, clock.now());
		if (waiter) {
			assignTo(waiter, sessionLink);
			return;
		}

		idle.add(sessionLink, clock.now());
		openForWaiters();
	};

	/**
	 * Assigns a new connection to a waiter of the workspace for which it was opened, if there is one. Guards against opening connections in an endless loop: assigned
	 * to the waiter whose turn it is by then, of another workspace, the connection would have to be closed again unused.
	 */
	const assignOpened = (sessionLink: SessionLink) => {
		const own = waiterOrder.getNext(getWaitersFor(sessionLink).filter(({workspace}) => workspace === sessionLink.workspace), usage.count, clock.now());
		if (own) {
			assignTo(own, sessionLink);
		} else {
			assignOrKeepIdle(sessionLink);
		}
	};

	/** Assigns an idle connection that was held back from a transaction, once another one may be opened. */
	const serveIdle = () => {
		const waiter = waiters.find(request => mayAcquire(request) && idle.has(request.workspace));
		const sessionLink = waiter && idle.take(waiter.values, waiter.workspace);
		if (sessionLink) {
			assignTo(waiter, sessionLink);
		}
	};

	const failWaiters = () => {
		for (const waiter of waiters.splice(0)) {
			waiter.resolve(undefined);
		}
	};

	const noteOpenFailed = (err: unknown) => {
		const now = clock.now();
		if (isLimitReached(err)) {
			health.noteReceived(now);
			budget.noteRejected(now);
			return;
		}

		if (!isLinkRefused(err) || err.code === AnswerCode.WrongEndpoint) {
			health.noteRefused(now);
		}

		if (refusedSince === undefined) {
			refusedSince = now;
			log.warn('an endpoint refuses sessions', {
				endpoint: target.endpointId, group: target.group, reason: (err as Error).message, open: all.size,
			});
		}

		// Waiters fail at once, since another endpoint may serve them.
		if (all.size === 0) {
			failWaiters();
		}
	};

	const openOne = async (workspace: string | undefined) => {
		try {
			const sessionLink = await openLink(OPEN_TIMEOUT_MS, workspace);
			noteOpened();
			if (retired) {
				sessionLink.link.close();
				return;
			}

			assignOpened(sessionLink);
		} catch (err) {
			log.debug('a connection was not opened', {endpoint: target.endpointId, reason: (err as Error).message});
		}
	};

	const noteOpened = () => {
		if (refusedSince !== undefined) {
			log.info('an endpoint accepts sessions again', {endpoint: target.endpointId, group: target.group, afterMs: Math.round(clock.now() - refusedSince)});
			refusedSince = undefined;
		}
	};

	/** Returns the waiter whose turn it is, out of those for which a connection is to be opened and none is under way. */
	const getUnserved = (denied: ReadonlySet<string | undefined>) => {
		const now = clock.now();
		const unserved = getUnservedWaiters(waiters.filter(request => mayAcquire(request) && !denied.has(request.workspace)), usage.openingFor);
		return waiterOrder.getNext(connections.chooseOpenings(unserved, now), usage.count, now);
	};

	/**
	 * Closes an idle connection of another workspace, so that one can be opened for this workspace; returns whether there was one. Guards a workspace that has no
	 * connection while others hold all of them: none of those can serve it.
	 */
	const evictIdle = (workspace: string | undefined) => {
		const evicted = connections.chooseEvicted(idle.all, workspace, budget, clock.now());
		if (!evicted) {
			return false;
		}

		idle.remove(evicted);
		isEvicting = true;
		evicted.sessionLink.link.close();
		isEvicting = false;
		return true;
	};

	/** Returns whether one more may be opened. Beyond the share only one is opened at a time: the endpoint would reject hosts that open many at once. */
	const mayOpenAnother = (open: number) => budget.mayOpen(clock.now(), open) && (usage.opening === 0 || open < budget.share);

	/** Returns whether one may be opened in place of an idle one. That adds none, but by default it is limited as others are. */
	const mayReplaceOne = (open: number) => connections.sparesOpenings ? budget.mayOpen(clock.now(), open - 1) : mayOpenAnother(open - 1);

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
		for (let next = getUnserved(denied); next && !retired; next = getUnserved(denied)) {
			const own = connections.sparesOpenings ? takeOwnIdle(next) : undefined;
			if (own) {
				assignTo(next, own);
				continue;
			}

			const open = all.size + usage.opening;
			const isFree = open < connections.getOpenedFreely(budget, clock.now()) && mayOpenAnother(open);
			if (isFree || (mayReplaceOne(open) && evictIdle(next.workspace)) || mayOpenAnother(open)) {
				void openOne(next.workspace);
				continue;
			}

			if (!connections.sparesOpenings || idle.size === 0 || denied.size >= MAX_PASSED_OVER) {
				return;
			}

			denied.add(next.workspace);
		}
	};

	/**
	 * Opens a connection to a suspected endpoint from time to time. Guards against an endpoint that was unreachable for a while and is never tried again: no read is sent
	 * to one that refused or was silent, so no traffic would show that it answers again.
	 */
	const retrySuspect = () => {
		const now = clock.now();
		if (retired || usage.opening > 0 || now - suspectRetriedAt < SUSPECT_RETRY_INTERVAL_MS || !health.getSuspicion(now)) {
			return;
		}

		suspectRetriedAt = now;
		void openOne(undefined);
	};

	const trim = () => {
		const now = clock.now();
		let open = all.size;
		for (let expired = connections.chooseExpired(idle.all, open, budget, now); expired; expired = connections.chooseExpired(idle.all, open, budget, now)) {
			idle.remove(expired);
			expired.sessionLink.link.close();
			open--;
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
		while (!done && clock.now() < request.until && !retired && !health.getSuspicion(clock.now())) {
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
		target,
		health,
		get inUse() {
			return all.size - idle.size;
		},
		get waiting() {
			return waiters.length;
		},
		get open() {
			return all.size;
		},
		getLoad: () => ({
			limit: congestion.size, inFlight: countInFlight(), queued: waiters.length, serviceMs: 0, waitMs: 0,
		}),
		async acquire(request) {
			if (retired) {
				return undefined;
			}

			connections.events?.noteRequested(request.workspace, clock.now());
			return takeIdle(request) ?? wait(request);
		},
		release(sessionLink) {
			usage.noteReleased(sessionLink.workspace);
			connections.events?.noteReleased(sessionLink, clock.now());
			inTransactions.delete(sessionLink);
			if (sessionLink.link.closed) {
				openForWaiters();
				return;
			}

			if (retired) {
				sessionLink.link.close();
				return;
			}

			assignOrKeepIdle(sessionLink);
			trim();
		},
		async sendCommand(command, timeoutMs) {
			const open = idle.newest ?? [...all].find(({link}) => !link.closed);
			if (open) {
				return open.link.readStatus({command});
			}

			const sessionLink = await openLink(timeoutMs, undefined);
			const status = await sessionLink.link.readStatus({command});
			assignOrKeepIdle(sessionLink);
			return status;
		},
		maintain() {
			connections.events?.maintain(clock.now());
			trim();
			retrySuspect();
		},
		retire() {
			retired = true;
			failWaiters();
			for (const {link} of idle.takeAll()) {
				link.close();
			}
		},
	};
}

/** Interval at which a suspected endpoint is tried again, in milliseconds: a try costs it nothing, and a network cut lasts seconds. */
const SUSPECT_RETRY_INTERVAL_MS = 1000;

/** Interval at which a waiter checks whether a connection may be opened, in milliseconds. */
const WAITER_POLL_INTERVAL_MS = 30;

/** Maximum number of workspaces that are passed over at once because no connection may be opened for them, so that the cost stays bounded where many wait. */
const MAX_PASSED_OVER = 4;
