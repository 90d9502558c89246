import {setImmediate as nextTurn} from 'node:timers/promises';
import type {KnownEndpoint} from '../links/endpoint-directory.js';
import type {SessionLink} from '../links/link-session.js';
import {PRIMARY_LEASE_MS, type PrimaryLease} from '../leadership/primary-leases.js';
import {CONFIRM_INTERVAL_MS} from '../mirror/store-mirror.js';
import type {ReadCandidate} from '../placement/choose-endpoint.js';
import {getCompletionMs} from '../placement/completion-time-placement.js';
import {ReadPolicy, type Route} from '../routes/routing.js';
import {SessionState} from '../statements/statement.js';
import type {LogPosition} from '../terms/log-position.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import type {Workspace} from '../workspaces/workspace.js';
import type {GatewayParts} from './gateway-parts.js';
import {createHopelessRefusal} from './hopeless-refusal.js';
import {getUnprovenRefusal} from './unproven-refusal.js';
import type {QueueTimeout} from './queue-timeout.js';
import {getReadCandidates} from './read-candidates.js';
import {fetchFloor, getFloor, refreshSamples} from './read-floors.js';
import {scheduleRequest} from './schedule-request.js';
import type {SessionMemory} from './session-memory.js';
import {noteQueueRefusal, noteUnserved, type StatementTrace} from './statement-trace.js';

/** A connection to an endpoint, acquired for one statement or transaction. */
export type AcquiredLink = {
	readonly endpoint: KnownEndpoint;
	readonly sessionLink: SessionLink;
	/** Lease under which the endpoint is used as the primary; undefined where it is read as a replica. */
	readonly lease?: PrimaryLease;
	/** Log position that a replica must have reached; undefined at the primary. */
	readonly floor?: LogPosition;
	/** Wait that was predicted at a pool host to which the request is sent without a connection, in milliseconds; 0 where a connection was acquired. */
	readonly predictedWaitMs: number;
	/** State of the connection after the last answer on it. */
	state: SessionState;
	/** Returns the connection to its pool, which drops it where it has ended; cuts it first where a transaction is still open on it. */
	release(): void;
};

/** A request for a connection. */
export type LinkRequest = {
	readonly route: Route;
	readonly memory: SessionMemory;
	/** Workspace of the caller; undefined where it has none. */
	readonly workspace?: Workspace;
	/** Elapsed time by which the first byte of the statement, or of its transaction, had arrived. */
	readonly arrivedAt: number;
	/** Steady time by which it has to be answered to be within its route's latency target. */
	readonly targetAt: number;
	/** Steady time after which a connection is of no more use. */
	readonly until: number;
	/** How long it may queue for a connection. */
	readonly queueTimeout: QueueTimeout;
	/** Whether the connection is for one statement; else it is for a transaction. */
	readonly single?: boolean;
	/** Whether it is for a single read, which may run more than once. */
	readonly reads?: boolean;
	/** Key of the prepared statement that it is for; undefined where the statement is not prepared or not known yet. */
	readonly statement?: string;
	/** Ids of endpoints that have been tried already. */
	readonly excluded?: ReadonlySet<string>;
	/** Whether the caller still waits for the result. */
	isWanted(): boolean;
	readonly trace: StatementTrace;
};

/** Time added to the predicted catch-up time of a replica for which a read waits, in milliseconds. */
const CATCH_UP_MARGIN_MS = 5;

/** Maximum wait for a replica to catch up before the choice of the endpoint is made anew, in milliseconds. */
const MAX_CATCH_UP_WAIT_MS = 100;

/**
 * Maximum wait for a connection to one endpoint while another could serve the read, in milliseconds: the time of a few statements. Guards against a read
 * that waits until its timeout for a primary whose connections are all in transactions, while a replica is idle.
 */
const MAX_WAIT_AT_ONE_ENDPOINT_MS = 100;

/** Maximum wait before leases and endpoints are checked again, in milliseconds. */
const RECHECK_MS = 50;

/**
 * Time without a confirmation after which this host counts as cut off from the store and from the hosts that reach it, in milliseconds. By then its primary
 * leases have expired, and another try to confirm has failed.
 */
const ISOLATED_AFTER_MS = PRIMARY_LEASE_MS + CONFIRM_INTERVAL_MS;

/** Maximum wait of a statement at an isolated host, in milliseconds: a host that was just resumed has its confirmation within that time. */
const ISOLATED_WAIT_MS = 150;

/**
 * Whether this host is isolated and the statement has waited for its maximum there. Guards against holding callers at a host that is cut off until their
 * timeout: they would have no time left to try another host, which could serve them.
 */
function isIsolatedTooLong({mirror, clock, elapsedClock}: GatewayParts, waitingSince: number): boolean {
	const isIsolated = mirror.partsConfirmedAt !== undefined && elapsedClock.elapsed() - mirror.partsConfirmedAt > ISOLATED_AFTER_MS;
	return isIsolated && clock.now() - waitingSince > ISOLATED_WAIT_MS;
}

/** Guards against new work at an endpoint that has announced its end long ago: it would be cut off without an outcome. */
function mayTakeWork({directory, elapsedClock}: GatewayParts, {entry}: KnownEndpoint): boolean {
	return directory.mayTakeWork(entry.id, elapsedClock.elapsed());
}

/**
 * Acquires a connection to the primary, once this host has a lease on one that answers. Returns undefined where there was no connection in time, or only other
 * hosts reach the primary.
 */
export async function acquirePrimary(parts: GatewayParts, req: LinkRequest): Promise<AcquiredLink | undefined> {
	const startedAt = parts.clock.now();
	while (req.isWanted() && parts.clock.now() < req.until) {
		if (parts.cutOffs.isCutOff(req.route.group, parts.clock.now())) {
			// The caller's next try reaches another host, which can serve it; waiting here could not succeed.
			return undefined;
		}

		const lease = parts.primaryLeases.get(req.route.group, parts.elapsedClock.elapsed());
		const endpoint = lease && parts.directory.get(lease.primaryId);
		if (!lease && isIsolatedTooLong(parts, startedAt)) {
			return undefined;
		}

		const unprovenRefusal = lease ? undefined : getUnprovenRefusal(parts.mirror.state.leadership.get(req.route.group));
		if (unprovenRefusal) {
			req.trace.queueRefusal = unprovenRefusal;
			return undefined;
		}

		const isLeaving = endpoint !== undefined && !mayTakeWork(parts, endpoint);
		if (!lease || !endpoint || isLeaving || endpoint.pool.health.getSuspicion(parts.clock.now())) {
			req.trace.leavingPrimary = isLeaving ? endpoint.entry.id : undefined;
			await waitForChange(parts, req);
			continue;
		}

		const until = Math.min(req.until, req.queueTimeout.start(parts.clock.now()));
		const acquired = await acquireAt(parts, {...req, until}, {endpoint, lease});
		if (acquired ?? req.trace.queueRefusal ?? req.queueTimeout.isOver(parts.clock.now())) {
			return acquired;
		}

		await nextTurn();
		await waitForChange(parts, req);
	}

	return undefined;
}

/** Acquires a connection for a read or a read-only transaction under the route's read policy. Returns undefined where there was none in time. */
export async function acquireForRead(parts: GatewayParts, req: LinkRequest): Promise<AcquiredLink | undefined> {
	if (req.route.policy === ReadPolicy.Primary) {
		return acquirePrimary(parts, req);
	}

	const startedAt = parts.clock.now();
	/** Ids of endpoints that had no free connection in time; cleared once none is left to try. */
	const timedOutEndpoints = new Set<string>();
	/** Ids of endpoints whose pools refused the read. */
	const refusedBy = new Set<string>();
	while (req.isWanted() && parts.clock.now() < req.until) {
		const lease = parts.primaryLeases.get(req.route.group, parts.elapsedClock.elapsed());
		const floor = getFloor(parts, req) ?? await fetchFloor(parts, req, lease);
		const candidates = getReadCandidates(parts, req, lease, floor);
		refreshSamples(parts, lease, candidates);
		const left = candidates.filter(({endpointId}) => !timedOutEndpoints.has(endpointId) && !refusedBy.has(endpointId));
		const chosen = parts.placement.choose(left, getTimeLeft(parts, req));
		const endpoint = chosen && parts.directory.get(chosen.endpointId);
		if (!endpoint) {
			if (await waitForCandidate(parts, req, {
				startedAt, timedOutEndpoints, refusedBy, candidates,
			})) {
				continue;
			}

			return undefined;
		}

		if (await waitForCatchUp(parts, req, chosen)) {
			continue;
		}

		const queueUntil = Math.min(req.until, req.queueTimeout.start(parts.clock.now()));
		const until = candidates.length > 1 ? Math.min(queueUntil, parts.clock.now() + getMaxWaitMs(chosen, left)) : queueUntil;
		const role = chosen.isPrimary ? {lease} : {floor};
		const acquired = await acquireAt(parts, {...req, until}, {endpoint, ...role, predictedWaitMs: chosen.estimate?.waitMs});
		if (req.queueTimeout.isOver(parts.clock.now()) || acquired) {
			return acquired;
		}

		if (req.trace.queueRefusal) {
			refusedBy.add(endpoint.entry.id);
			continue;
		}

		if (parts.clock.now() >= until) {
			timedOutEndpoints.add(endpoint.entry.id);
			continue;
		}

		await nextTurn();
		await waitForChange(parts, req);
	}

	return undefined;
}

/**
 * Waits until a replica is predicted to hold the read's floor. Returns whether the endpoint has to be chosen anew, since it was waited for no longer than a prediction
 * may be relied on: a replica whose lag ends is readmitted at once, while reads that wait for the earlier prediction would come late.
 */
async function waitForCatchUp({estimates, clock, elapsedClock}: GatewayParts, {route, until}: LinkRequest, chosen: ReadCandidate): Promise<boolean> {
	if (chosen.catchUpMs > 0 && !chosen.estimate?.isTrial) {
		// Sent now, the read would be refused because the replica has not reached the floor, at the cost of a round trip.
		const catchUpMs = chosen.catchUpMs + CATCH_UP_MARGIN_MS;
		const isReevaluated = estimates !== undefined && catchUpMs > MAX_CATCH_UP_WAIT_MS;
		await clock.sleep(Math.min(isReevaluated ? MAX_CATCH_UP_WAIT_MS : catchUpMs, until - clock.now()));
		if (isReevaluated) {
			return true;
		}
	}

	estimates?.noteChosen(chosen, route.group, clock.now(), elapsedClock.elapsed());
	return false;
}

type ReadWithoutEndpoint = {
	readonly startedAt: number;
	readonly timedOutEndpoints: Set<string>;
	readonly refusedBy: ReadonlySet<string>;
	readonly candidates: readonly ReadCandidate[];
};

/** Waits where no endpoint can serve a read now; returns false where the read has to be given up, with its refusal in the trace where that is known to be due to load. */
async function waitForCandidate(parts: GatewayParts, req: LinkRequest, {startedAt, timedOutEndpoints, refusedBy, candidates}: ReadWithoutEndpoint): Promise<boolean> {
	// A read whose primary is being replaced may still be served, so it is refused only where its primary is known.
	const isPrimaryKnown = parts.estimates !== undefined && candidates.some(({isPrimary}) => isPrimary);
	if (refusedBy.size > 0 || (isPrimaryKnown && timedOutEndpoints.size === 0)) {
		req.trace.queueRefusal ??= createHopelessRefusal(candidates, req.until, parts.clock.now());
		return false;
	}

	if (timedOutEndpoints.size > 0) {
		timedOutEndpoints.clear();
		await nextTurn();
		return true;
	}

	if ((req.excluded?.size ?? 0) > 0 || isIsolatedTooLong(parts, startedAt)) {
		return false;
	}

	await waitForChange(parts, req);
	return true;
}

/** Returns the time that a read has left, where reads are placed by it. */
function getTimeLeft({estimates, clock}: GatewayParts, {targetAt, until, queueTimeout}: LinkRequest) {
	if (!estimates) {
		return undefined;
	}

	const now = clock.now();
	return {targetMs: targetAt - now, limitMs: Math.min(until, queueTimeout.start(now)) - now};
}

/** Returns how long a read waits for a connection to an endpoint while others could serve it, in milliseconds. */
function getMaxWaitMs(chosen: ReadCandidate, candidates: readonly ReadCandidate[]): number {
	if (!chosen.estimate?.isKnown) {
		return MAX_WAIT_AT_ONE_ENDPOINT_MS;
	}

	// A request that leaves its queue loses its place, so it stays until another endpoint would have answered.
	const others = candidates.filter(other => other !== chosen);
	return Math.max(MAX_WAIT_AT_ONE_ENDPOINT_MS, Math.min(...others.map(other => getCompletionMs(other))));
}

type AcquireTarget = {
	readonly endpoint: KnownEndpoint;
	readonly lease?: PrimaryLease;
	readonly floor?: LogPosition;
	readonly predictedWaitMs?: number;
};

async function acquireAt(parts: GatewayParts, req: LinkRequest, {endpoint, lease, floor, predictedWaitMs = 0}: AcquireTarget): Promise<AcquiredLink | undefined> {
	const {pool} = endpoint;
	const requestedAt = parts.clock.now();
	req.trace.queueRefusal = undefined;
	const sessionLink = await pool.acquire({
		priority: req.route.priority,
		until: req.until,
		values: req.memory.values,
		workspace: req.workspace?.name,
		single: req.single ?? false,
		read: req.reads ? {epoch: lease?.epoch} : undefined,
		minPosition: lease?.start,
		...scheduleRequest(parts, req, pool, requestedAt),
		onRefused(refusal) {
			noteQueueRefusal(req.trace, endpoint.entry.id, refusal);
		},
	});
	const waitedMs = parts.clock.now() - requestedAt;
	if (!sessionLink) {
		noteUnserved(req.trace, endpoint.entry.id, waitedMs);
		return undefined;
	}

	parts.metrics.observeLinkWait(waitedMs / 1000);
	req.trace.linkWaitMs += waitedMs;
	// The lease may have expired, the endpoint may have become due to leave, or the caller may have left, during the wait.
	const stillHolds = !lease || parts.primaryLeases.get(lease.group, parts.elapsedClock.elapsed())?.epoch === lease.epoch;
	if (!stillHolds || !mayTakeWork(parts, endpoint) || !req.isWanted()) {
		pool.release(sessionLink);
		return undefined;
	}

	req.trace.leavingPrimary = undefined;
	req.trace.endpoints.push(endpoint.entry.id);
	req.trace.epoch = lease?.epoch;
	req.trace.floor = floor;
	// A read that goes to a pool host without a connection waits there, which counts to its time until the answer.
	const isSentAhead = sessionLink.isSentAhead === true;
	const endWork = lease ? parts.primaryWork.begin(lease.group) : undefined;
	const acquired: AcquiredLink = {
		endpoint,
		sessionLink,
		lease,
		floor,
		predictedWaitMs: isSentAhead ? predictedWaitMs : 0,
		state: SessionState.Idle,
		release() {
			endWork?.();
			if (!req.single) {
				parts.operationTimes.observe(req.route.name, parts.clock.now() - requestedAt - waitedMs, !sessionLink.link.closed);
			}

			// Guards against running the next caller's statement inside this transaction, in case the endpoint kept it open.
			if (acquired.state !== SessionState.Idle) {
				sessionLink.link.cut();
			}

			pool.release(sessionLink);
		},
	};
	return acquired;
}

async function waitForChange({primaryLeases, clock}: GatewayParts, {until}: LinkRequest) {
	const alarm = createSleepAlarm();
	await Promise.race([primaryLeases.changed(alarm), clock.sleep(Math.min(RECHECK_MS, until - clock.now()), alarm)]);
	alarm.abort();
}
