import {AnswerCode} from '../statements/statement-answer.js';
import {createCongestionWindow} from './congestion-window.js';
import {LongestIdlePolicy, type ConnectionPolicy} from './connection-policy.js';
import {createEndpointHealth, type EndpointHealth} from './endpoint-health.js';
import type {EndpointLink, LinkListener} from './endpoint-link.js';
import type {EndpointPoolOptions, AcquireRequest} from './endpoint-pool.js';
import {createIdleLinks, type IdleLinks} from './idle-links.js';
import {createLinkBudget, type LinkBudget} from './link-budget.js';
import {isLimitReached, isLinkRefused} from './link-errors.js';
import {createSessionLink, type SessionLink} from './link-session.js';
import {heldPositionAtOpen, openCheckedLink} from './open-checked-link.js';
import {createSlotMeter, type SlotMeter} from './slot-meter.js';
import {createWorkspaceUsage, type WorkspaceUsage} from './workspace-usage.js';

/** The connections of a pool: what is open, idle, in use or being opened, and whether more may be. */
export type PoolConnections = {
	readonly health: EndpointHealth;
	readonly budget: LinkBudget;
	readonly policy: ConnectionPolicy;
	readonly idle: IdleLinks;
	readonly usage: WorkspaceUsage;
	/** The open connections. */
	readonly all: ReadonlySet<SessionLink>;
	/**
	 * Number of connections that serve single statements or are being opened; one that is idle in a transaction takes no slot of the endpoint. Where the order counts transactions, those that
	 * have a statement in flight are included.
	 */
	readonly inFlight: number;
	/** Number of connections in transactions. */
	readonly inTransactions: number;
	/** Number of statements that may be in flight; Infinity while that is unbounded. */
	readonly limit: number;
	/** Whether the pool was retired: no more connections are opened. */
	readonly retired: boolean;
	/** Returns whether the request may acquire a connection while `inFlight` are in flight. */
	mayAcquire(request: Pick<AcquireRequest, 'single'>, inFlight?: number): boolean;
	/** Removes and returns an idle connection that the request may acquire. */
	takeIdle(request: AcquireRequest): SessionLink | undefined;
	/** Notes that a request acquired a connection, and returns the connection. */
	noteAcquired(sessionLink: SessionLink, request: AcquireRequest): SessionLink;
	noteReleased(sessionLink: SessionLink): void;
	/** Returns the time for which the connection has had requests at the endpoint since it was acquired, in milliseconds. */
	getBusyMs(sessionLink: SessionLink): number;
	/** Begins to open a connection for a workspace, as far as the budget allows, closing an idle one where that is needed; returns whether it began. */
	tryOpen(workspace: string | undefined): boolean;
	/** Opens a connection for a command of the host's own, and keeps it in the pool until it closes. */
	openLink(timeoutMs: number, workspace: string | undefined): Promise<SessionLink>;
	/** Closes connections that have been idle for too long. */
	trim(): void;
	/** Opens a connection to a suspected endpoint from time to time. */
	retrySuspect(): void;
	/** Closes idle connections; no more are opened. */
	retire(): void;
};

/** What the connections of a pool need. */
export type PoolConnectionsOptions = EndpointPoolOptions & {
	/** Called with each connection that was opened for a workspace, and the time that this took, in milliseconds. */
	onOpened(sessionLink: SessionLink, openMs: number): void;
	/** Called where a connection ended that was not closed to be replaced. */
	onClosed(): void;
	/** Called where the endpoint refused a connection and none is open. */
	onRefused(): void;
	/** Called after each answer of the endpoint. */
	onAnswered(): void;
};

/**
 * Timeout for opening a connection, in milliseconds. Opening takes 12 ms and a slot of the endpoint, so it queues behind
 * statements; a caller's own statement is bounded at about 1,000 ms.
 */
const OPEN_TIMEOUT_MS = 1500;

/** Interval at which a suspected endpoint is tried again, in milliseconds: a try costs it nothing, and a network cut lasts seconds. */
const SUSPECT_RETRY_INTERVAL_MS = 1000;

/** Creates the connections of a pool, none at first. */
export function createPoolConnections(options: PoolConnectionsOptions): PoolConnections {
	const {target, clock, log, getLimits} = options;
	const health = createEndpointHealth();
	const budget = createLinkBudget(getLimits);
	const congestion = options.window ?? createCongestionWindow();
	const policy: ConnectionPolicy = options.connections ?? new LongestIdlePolicy();
	const all = new Set<SessionLink>();
	const inTransactions = new Set<SessionLink>();
	const meters = new Map<SessionLink, SlotMeter>();
	const idle = createIdleLinks();
	const usage = createWorkspaceUsage();
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

	const countsTransactions = options.order?.countsTransactions ?? false;

	const countInFlight = () => all.size - idle.size - inTransactions.size + usage.opening + (countsTransactions ? countBusyTransactions() : 0);

	/**
	 * Counts the transactions that have a statement at the endpoint, which take a slot there without having queued for it here, and those whose first statement is on its way. Guards against
	 * starting as many transactions as there are connections at one moment, because none has sent anything yet.
	 */
	const countBusyTransactions = () => {
		let busy = 0;
		for (const sessionLink of inTransactions) {
			busy += sessionLink.link.pending > 0 || (meters.get(sessionLink)?.isUnused ?? false) ? 1 : 0;
		}

		return busy;
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

			options.onAnswered();
		},
	};

	/** Opens a connection and keeps it in the pool until it closes. */
	const openLink = async (timeoutMs: number, workspace: string | undefined) => {
		const startedAt = clock.now();
		usage.noteOpening(workspace);
		policy.events?.noteOpening(workspace);
		listener.onSent();
		let opened = false;
		const opening: {link?: EndpointLink} = {};
		// Only an order that counts transactions asks for the time for which a connection was in use.
		const meter = countsTransactions ? createSlotMeter(listener, () => clock.now(), () => opening.link?.pending ?? 0) : undefined;
		try {
			const link: EndpointLink = await openCheckedLink(options, workspace, timeoutMs, meter?.listener ?? listener);
			opening.link = link;
			const sessionLink = createSessionLink(link, {
				address: target.address, workspace, onRefused: noteSetupRefused, onUnknownName: noteUnknownName, metrics: options.sessionMetrics,
			});
			all.add(sessionLink);
			if (meter) {
				meters.set(sessionLink, meter);
			}

			policy.events?.noteOpened(sessionLink, clock.now() - startedAt, clock.now());
			link.onClose(() => {
				policy.events?.noteClosed(sessionLink);
				all.delete(sessionLink);
				meters.delete(sessionLink);
				inTransactions.delete(sessionLink);
				if (!isEvicting) {
					options.onClosed();
				}
			});
			opened = true;
			return sessionLink;
		} catch (err) {
			policy.events?.noteOpenFailed(workspace, isLimitReached(err), clock.now());
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
	const mayAcquire = ({single}: Pick<AcquireRequest, 'single'>, inFlight = countInFlight()) => {
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
		policy.events?.noteAcquired(sessionLink, single, clock.now());
		meters.get(sessionLink)?.reset();
		if (!single) {
			inTransactions.add(sessionLink);
		}

		return sessionLink;
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
			options.onRefused();
		}
	};

	/** A refused command leaves a session whose values or prepared statements are not those of its caller. */
	const noteSetupRefused = (kind: string, code: AnswerCode) => {
		options.sessionMetrics?.countRefusedCommand(kind);
		log.warn('an endpoint refused to set up a session; the connection ends', {
			endpoint: target.endpointId, group: target.group, command: kind, code,
		});
	};

	const noteUnknownName = (prepared: number) => {
		options.sessionMetrics?.countUnknownName();
		log.warn('an endpoint does not know a statement that it had prepared; the connection is cut', {
			endpoint: target.endpointId, group: target.group, prepared,
		});
	};

	const openOne = async (workspace: string | undefined) => {
		try {
			const startedAt = clock.now();
			const sessionLink = await openLink(OPEN_TIMEOUT_MS, workspace);
			noteOpened();
			if (retired) {
				sessionLink.link.close();
				return;
			}

			options.onOpened(sessionLink, clock.now() - startedAt);
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

	/**
	 * Closes an idle connection of another workspace, so that one can be opened for this workspace; returns whether there was one. Guards a workspace that has no
	 * connection while others hold all of them: none of those can serve it.
	 */
	const evictIdle = (workspace: string | undefined) => {
		const evicted = policy.chooseEvicted(idle.all, workspace, budget, clock.now());
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
	const mayReplaceOne = (open: number) => policy.sparesOpenings ? budget.mayOpen(clock.now(), open - 1) : mayOpenAnother(open - 1);

	return {
		health,
		budget,
		policy,
		idle,
		usage,
		all,
		get inFlight() {
			return countInFlight();
		},
		get inTransactions() {
			return inTransactions.size;
		},
		get limit() {
			return congestion.size;
		},
		get retired() {
			return retired;
		},
		mayAcquire,
		takeIdle(request) {
			cutStaleIdle(request);
			const taken = mayAcquire(request) ? idle.take(request.values, request.workspace) : undefined;
			return taken && noteAcquired(taken, request);
		},
		noteAcquired,
		noteReleased(sessionLink) {
			usage.noteReleased(sessionLink.workspace);
			policy.events?.noteReleased(sessionLink, clock.now());
			inTransactions.delete(sessionLink);
		},
		getBusyMs: sessionLink => meters.get(sessionLink)?.getBusyMs(clock.now()) ?? 0,
		tryOpen(workspace) {
			const open = all.size + usage.opening;
			const isFree = open < policy.getOpenedFreely(budget, clock.now()) && mayOpenAnother(open);
			if (retired || (!isFree && !(mayReplaceOne(open) && evictIdle(workspace)) && !mayOpenAnother(open))) {
				return false;
			}

			void openOne(workspace);
			return true;
		},
		openLink,
		trim() {
			const now = clock.now();
			let open = all.size;
			for (let expired = policy.chooseExpired(idle.all, open, budget, now); expired; expired = policy.chooseExpired(idle.all, open, budget, now)) {
				idle.remove(expired);
				expired.sessionLink.link.close();
				open--;
			}
		},
		/**
		 * Guards against an endpoint that was unreachable for a while and is never tried again: no read is sent to one that refused or was silent, so no traffic would
		 * show that it answers again.
		 */
		retrySuspect() {
			const now = clock.now();
			if (retired || usage.opening > 0 || now - suspectRetriedAt < SUSPECT_RETRY_INTERVAL_MS || !health.getSuspicion(now)) {
				return;
			}

			suspectRetriedAt = now;
			void openOne(undefined);
		},
		retire() {
			retired = true;
			for (const {link} of idle.takeAll()) {
				link.close();
			}
		},
	};
}
