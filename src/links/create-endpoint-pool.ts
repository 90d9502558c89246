import {AnswerCode} from '../statements/statement-answer.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import {createCongestionWindow} from './congestion-window.js';
import {createEndpointHealth} from './endpoint-health.js';
import type {LinkListener} from './endpoint-link.js';
import type {EndpointPool, EndpointPoolOptions, LinkWish} from './endpoint-pool.js';
import {createIdleLinks} from './idle-links.js';
import {createLinkBudget} from './link-budget.js';
import {
	chooseWaiter, getNextWaiter, getUnservedWaiters, type Waiter,
} from './choose-waiter.js';
import {isLinkRefused} from './link-errors.js';
import {createSessionLink, type SessionLink} from './link-session.js';
import {isOfLife, openCheckedLink} from './open-checked-link.js';
import {createWorkspaceUsage} from './workspace-usage.js';

/**
 * Longest opening of a connection, in milliseconds. It takes 12 ms and a slot of the endpoint, so it queues behind
 * statements; a caller's own statement is bounded at some 1,000.
 */
const OPEN_TIMEOUT_MS = 1500;

/** An idle connection beyond the host's share is closed after so long, in milliseconds, so that other hosts can have it. */
const SPARE_IDLE_MS = 1000;

/** One within the share, beyond what is kept, after so long, in milliseconds: opening it anew costs 12 ms of a slot. */
const SHARE_IDLE_MS = 3000;

/** Creates a pool without connections. */
export function createEndpointPool(options: EndpointPoolOptions): EndpointPool {
	const {target, clock, log, getLimits} = options;
	const health = createEndpointHealth();
	const budget = createLinkBudget(getLimits);
	const congestion = createCongestionWindow();
	const all = new Set<SessionLink>();
	const inTransactions = new Set<SessionLink>();
	const idle = createIdleLinks();
	let waiters: Waiter[] = [];
	const usage = createWorkspaceUsage();
	let order = 0;
	/** An idle connection is being closed for one that is opened at once. */
	let makingRoom = false;
	let retired = false;
	let refusedSince: number | undefined;
	let recheckedAt = Number.NEGATIVE_INFINITY;

	const noteWhetherOpen = () => {
		if (usage.opening === 0 && ![...all].some(({link}) => link.pending > 0)) {
			health.noteNothingOpen();
		}
	};

	const listener: LinkListener = {
		onAsked() {
			health.noteAsked(clock.now());
		},
		onHeard() {
			health.noteHeard(clock.now());
			noteWhetherOpen();
		},
		onAnswered(isTurnedAway) {
			if (isTurnedAway) {
				congestion.noteTurnedAway(countUnderWay(), clock.now());
			} else {
				congestion.noteServed();
			}
		},
	};

	/** Connections that serve single statements, or are being opened; what rests in transactions takes no slot of the endpoint. */
	const countUnderWay = () => all.size - idle.size - inTransactions.size + usage.opening;

	/** Opens a connection and keeps it in the pool until it closes. */
	const openLink = async (timeoutMs: number, workspace: string | undefined) => {
		usage.noteOpening(workspace);
		listener.onAsked();
		let opened = false;
		try {
			const link = await openCheckedLink(options, workspace, timeoutMs, listener);
			const sessionLink = createSessionLink(link, workspace);
			all.add(sessionLink);
			link.onClose(() => {
				all.delete(sessionLink);
				inTransactions.delete(sessionLink);
				if (!makingRoom) {
					openForWaiters();
				}
			});
			opened = true;
			return sessionLink;
		} catch (err) {
			noteOpenFailed(err);
			throw err;
		} finally {
			usage.noteOpeningEnded(workspace);
			if (opened) {
				noteWhetherOpen();
			}
		}
	};

	/**
	 * Guards single statements against transactions that rest: where no further connection may be opened, a transaction leaves one to them. A hundred
	 * callers that rested in transactions for 3 s each took every connection of a primary, and reads and writes of 15 ms waited until their time was up.
	 */
	const mayTake = ({single}: LinkWish, underWay = countUnderWay()) => {
		if (underWay >= congestion.size) {
			return false;
		}

		const left = all.size - inTransactions.size - 1;
		return single || left > 0 || all.size <= 1 || budget.mayOpen(clock.now(), all.size + usage.opening);
	};

	/**
	 * Guards against connections to a life of the endpoint that lost its log, opened before this host knew that the life before is recorded as the primary:
	 * they were opened to what seemed a replica. A primary's own connections that are older than its promotion are opened anew as well, once.
	 */
	const dropOthers = ({least}: LinkWish) => {
		idle.cutWhere(({link}) => !isOfLife(link, least));
	};

	const lend = (sessionLink: SessionLink, {single}: LinkWish) => {
		usage.noteLent(sessionLink.workspace);
		if (!single) {
			inTransactions.add(sessionLink);
		}

		return sessionLink;
	};

	const takeIdle = (wish: LinkWish) => {
		dropOthers(wish);
		const taken = mayTake(wish) ? idle.take(wish.values, wish.workspace) : undefined;
		return taken && lend(taken, wish);
	};

	const giveTo = (waiter: Waiter, sessionLink: SessionLink) => {
		if (isOfLife(sessionLink.link, waiter.least)) {
			waiters = waiters.filter(other => other !== waiter);
			waiter.give(lend(sessionLink, waiter));
		} else {
			sessionLink.link.cut();
		}
	};

	/** Those who may take a connection that is neither lent nor idle. */
	const getWaitersFor = ({link}: SessionLink) => waiters.filter(wish => !link.closed && mayTake(wish, countUnderWay() - 1));

	const giveAway = (sessionLink: SessionLink) => {
		const waiter = chooseWaiter(getWaitersFor(sessionLink), sessionLink.workspace, usage.count, clock.now());
		if (waiter) {
			giveTo(waiter, sessionLink);
			return;
		}

		idle.add(sessionLink, clock.now());
		openForWaiters();
	};

	/**
	 * A connection that was opened for a workspace serves that first. Guards against openings without an end: given to the one whose turn it is by then, of another
	 * workspace, it would have to be closed again unused.
	 */
	const giveOpened = (sessionLink: SessionLink) => {
		const own = getNextWaiter(getWaitersFor(sessionLink).filter(({workspace}) => workspace === sessionLink.workspace), usage.count);
		if (own) {
			giveTo(own, sessionLink);
		} else {
			giveAway(sessionLink);
		}
	};

	/** What was held back from a transaction may be lent to it once another may be opened. */
	const serveIdle = () => {
		const waiter = waiters.find(wish => mayTake(wish) && idle.has(wish.workspace));
		const free = waiter && idle.take(waiter.values, waiter.workspace);
		if (free) {
			giveTo(waiter, free);
		}
	};

	const failWaiters = () => {
		for (const waiter of waiters.splice(0)) {
			waiter.give(undefined);
		}
	};

	const noteOpenFailed = (err: unknown) => {
		const now = clock.now();
		if (isLinkRefused(err) && (err.code === AnswerCode.TooManyConnections || err.code === AnswerCode.Overloaded)) {
			health.noteHeard(now);
			budget.noteTurnedAway(now);
			return;
		}

		if (!isLinkRefused(err) || err.code === AnswerCode.WrongEndpoint) {
			health.noteRefused(now);
		}

		if (refusedSince === undefined) {
			refusedSince = now;
			log.warn('an endpoint takes no session', {
				endpoint: target.endpointId, group: target.group, reason: (err as Error).message, open: all.size,
			});
		}

		// Whoever waits is told at once, since it may be served elsewhere.
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

			giveOpened(sessionLink);
		} catch (err) {
			log.debug('a connection was not opened', {endpoint: target.endpointId, reason: (err as Error).message});
		}
	};

	const noteOpened = () => {
		if (refusedSince !== undefined) {
			log.info('an endpoint takes sessions again', {endpoint: target.endpointId, group: target.group, afterMs: Math.round(clock.now() - refusedSince)});
			refusedSince = undefined;
		}
	};

	/** Whose turn it is of those who wait without a connection being opened for them. */
	const getUnserved = () => getNextWaiter(getUnservedWaiters(waiters.filter(wish => mayTake(wish)), usage.openingFor), usage.count);

	/**
	 * Makes room for a connection of the workspace by closing an idle one of another. Guards a workspace that comes anew while others hold every connection: none of
	 * those can serve it.
	 */
	const makeRoom = (workspace: string | undefined) => {
		const evicted = idle.takeOldestOfOthers(workspace);
		makingRoom = true;
		evicted?.link.close();
		makingRoom = false;
		return evicted !== undefined;
	};

	/** Beyond the share one is opened at a time: hosts that press on together would all be turned away. */
	const mayOpenBeside = (open: number) => budget.mayOpen(clock.now(), open) && (usage.opening === 0 || open < budget.share);

	const openForWaiters = () => {
		for (let next = getUnserved(); next && !retired; next = getUnserved()) {
			const open = all.size + usage.opening;
			const isWithinShare = open < budget.share && mayOpenBeside(open);
			if (!isWithinShare && !(mayOpenBeside(open - 1) && makeRoom(next.workspace)) && !mayOpenBeside(open)) {
				return;
			}

			void openOne(next.workspace);
		}
	};

	/**
	 * Guards against an endpoint that was cut off for a while and is never asked again: no read is sent to one that refused or was silent, so nothing
	 * would tell that it answers by now.
	 */
	const recheck = () => {
		const now = clock.now();
		if (retired || usage.opening > 0 || now - recheckedAt < RECHECK_SUSPECT_MS || !health.getSuspicion(now)) {
			return;
		}

		recheckedAt = now;
		void openOne(undefined);
	};

	const trim = () => {
		const now = clock.now();
		let open = all.size;
		while (idle.size > 0 && open > budget.kept) {
			const oldest = idle.takeOldest(now - (open > budget.share ? SPARE_IDLE_MS : SHARE_IDLE_MS));
			if (!oldest) {
				return;
			}

			oldest.link.close();
			open--;
		}
	};

	/** Waits, trying again to open while the endpoint turns connections away. */
	const wait = async (wish: LinkWish): Promise<SessionLink | undefined> => {
		const alarm = createSleepAlarm();
		let given: SessionLink | undefined;
		let done = false;
		const waiter: Waiter = {
			...wish,
			order: order++,
			since: clock.now(),
			give(sessionLink) {
				given = sessionLink;
				done = true;
				alarm.abort();
			},
		};
		waiters.push(waiter);
		waiters.sort((left, right) => left.priority - right.priority || left.order - right.order);
		// Whoever waits at an endpoint that has gone silent may be served elsewhere, by its successor for one.
		while (!done && clock.now() < wish.until && !retired && !health.getSuspicion(clock.now())) {
			serveIdle();
			openForWaiters();
			await clock.sleep(Math.min(RECHECK_MS, wish.until - clock.now()), alarm);
		}

		if (!done) {
			waiters = waiters.filter(other => other !== waiter);
		}

		return given;
	};

	return {
		target,
		health,
		get lent() {
			return all.size - idle.size;
		},
		get waiting() {
			return waiters.length;
		},
		get open() {
			return all.size;
		},
		async acquire(wish) {
			if (retired) {
				return undefined;
			}

			return takeIdle(wish) ?? wait(wish);
		},
		release(sessionLink) {
			usage.noteReturned(sessionLink.workspace);
			inTransactions.delete(sessionLink);
			if (sessionLink.link.closed) {
				openForWaiters();
				return;
			}

			if (retired) {
				sessionLink.link.close();
				return;
			}

			giveAway(sessionLink);
			trim();
		},
		async ask(command, timeoutMs) {
			const open = idle.newest ?? [...all].find(({link}) => !link.closed);
			if (open) {
				return open.link.readStatus({command});
			}

			const sessionLink = await openLink(timeoutMs, undefined);
			const status = await sessionLink.link.readStatus({command});
			giveAway(sessionLink);
			return status;
		},
		keep() {
			trim();
			recheck();
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

/** An endpoint that is taken to be gone is tried again so often, in milliseconds: a try costs it nothing, and a cut lasts seconds. */
const RECHECK_SUSPECT_MS = 1000;

/** Whoever waits for a connection looks this often whether one may be opened by now, in milliseconds. */
const RECHECK_MS = 30;
