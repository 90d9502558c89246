import {setImmediate as nextTurn} from 'node:timers/promises';
import type {KnownEndpoint} from '../links/endpoint-directory.js';
import type {SessionLink} from '../links/link-session.js';
import {PRIMARY_LEASE_MS, type PrimaryLease} from '../leadership/primary-leases.js';
import {CONFIRM_INTERVAL_MS} from '../mirror/store-mirror.js';
import type {ReadCandidate} from '../placement/choose-endpoint.js';
import {predictCatchUp} from '../placement/catch-up.js';
import {getHigherFloor, clampToTermStart} from '../placement/position-samples.js';
import {ReadPolicy, type Route} from '../routes/routing.js';
import {SessionState} from '../statements/statement.js';
import type {LogPosition} from '../terms/log-position.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import type {Workspace} from '../workspaces/workspace.js';
import type {GatewayParts} from './gateway-parts.js';
import type {QueueTimeout} from './queue-timeout.js';
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
	/** Steady time after which a connection is of no more use. */
	readonly until: number;
	/** How long it may queue for a connection. */
	readonly queueTimeout: QueueTimeout;
	/** Whether the connection is for one statement; else it is for a transaction. */
	readonly single?: boolean;
	/** Whether it is for a single read, which may run more than once. */
	readonly reads?: boolean;
	/** Name of the prepared statement that it is for; undefined where the statement is not prepared or not known yet. */
	readonly statement?: string;
	/** Ids of endpoints that have been tried already. */
	readonly excluded?: ReadonlySet<string>;
	/** Whether the caller still waits for the result. */
	isWanted(): boolean;
	readonly trace: StatementTrace;
};

/**
 * Floors are chosen this much newer than the maximum read age requires, in milliseconds. The hosts' clocks differ in rate, but by far
 * less than this over the seconds of a read age.
 */
const FLOOR_MARGIN_MS = 5;

/** Time added to the predicted catch-up time of a replica for which a read waits, in milliseconds. */
const CATCH_UP_MARGIN_MS = 5;

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
	const isIsolated = mirror.confirmedAt !== undefined && elapsedClock.elapsed() - mirror.confirmedAt > ISOLATED_AFTER_MS;
	return isIsolated && clock.now() - waitingSince > ISOLATED_WAIT_MS;
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

		if (!lease || !endpoint || endpoint.pool.health.getSuspicion(parts.clock.now())) {
			await waitForChange(parts, req);
			continue;
		}

		const until = Math.min(req.until, req.queueTimeout.start(parts.clock.now()));
		const acquired = await acquireAt(parts, {...req, until}, endpoint, lease);
		if (acquired ?? hasEnded(parts, req)) {
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
	while (req.isWanted() && parts.clock.now() < req.until) {
		const lease = parts.primaryLeases.get(req.route.group, parts.elapsedClock.elapsed());
		const floor = getFloor(parts, req) ?? await fetchFloor(parts, req, lease);
		const candidates = getCandidates(parts, req, lease, floor);
		const chosen = parts.placement.choose(candidates.filter(({endpointId}) => !timedOutEndpoints.has(endpointId)));
		const endpoint = chosen && parts.directory.get(chosen.endpointId);
		if (!endpoint) {
			if (timedOutEndpoints.size > 0 && !req.trace.queueRefusal) {
				timedOutEndpoints.clear();
				await nextTurn();
				continue;
			}

			if (timedOutEndpoints.size > 0 || (req.excluded?.size ?? 0) > 0 || isIsolatedTooLong(parts, startedAt)) {
				// Where each endpoint refused at once, none can serve the read in time.
				return undefined;
			}

			await waitForChange(parts, req);
			continue;
		}

		if (chosen.catchUpMs > 0) {
			// Sent now, the read would be refused because the replica has not reached the floor, at the cost of a round trip.
			await parts.clock.sleep(Math.min(chosen.catchUpMs + CATCH_UP_MARGIN_MS, req.until - parts.clock.now()));
		}

		const queueUntil = Math.min(req.until, req.queueTimeout.start(parts.clock.now()));
		const until = getWaitUntil(parts, queueUntil, candidates.length);
		const acquired = await acquireAt(parts, {...req, until}, endpoint, chosen.isPrimary ? lease : undefined, chosen.isPrimary ? undefined : floor);
		if (req.queueTimeout.isOver(parts.clock.now()) || acquired) {
			return acquired;
		}

		if (hasNoConnectionInTime(parts, req, until)) {
			timedOutEndpoints.add(endpoint.entry.id);
			continue;
		}

		await nextTurn();
		await waitForChange(parts, req);
	}

	return undefined;
}

/** Whether the endpoint that was asked last had no connection until then, or knows that it will have none. */
function hasNoConnectionInTime({clock}: GatewayParts, {trace}: LinkRequest, until: number): boolean {
	return clock.now() >= until || trace.queueRefusal !== undefined;
}

/** Whether the request has no time left to queue, or the pool that was asked last knows that it cannot serve the request in time. */
function hasEnded({clock}: GatewayParts, {queueTimeout, trace}: LinkRequest): boolean {
	return queueTimeout.isOver(clock.now()) || trace.queueRefusal !== undefined;
}

/** Returns the steady time until which a read waits at one endpoint. With scheduling it keeps its place in the queue there, whose pool refuses it at once where it would wait too long. */
function getWaitUntil({clock, features}: GatewayParts, queueUntil: number, candidates: number): number {
	return candidates > 1 && !features.scheduling ? Math.min(queueUntil, clock.now() + MAX_WAIT_AT_ONE_ENDPOINT_MS) : queueUntil;
}

/**
 * Requests a position of the group's primary from a host that uses the primary more often, so that a replica can serve the read. Returns undefined where
 * no host has one.
 */
async function fetchFloor(parts: GatewayParts, req: LinkRequest, lease: PrimaryLease | undefined): Promise<LogPosition | undefined> {
	if (!lease || !await parts.sampleFetcher.fetch(lease.group, lease.primaryId)) {
		return undefined;
	}

	return getFloor(parts, req);
}

/** Returns the log position that a replica must have reached to serve the read; undefined where no known position is recent enough for the route. */
function getFloor({knowledge, mirror}: GatewayParts, {route, memory, arrivedAt}: LinkRequest): LogPosition | undefined {
	const sampled = knowledge.getSamples(route.group).getFloor(arrivedAt - route.maxReadAgeMs + FLOOR_MARGIN_MS);
	const own = route.policy === ReadPolicy.OwnWrites ? memory.floors.get(route.group) : undefined;
	const floor = sampled && getHigherFloor(sampled, own);
	const record = mirror.state.leadership.get(route.group);
	return floor && record ? clampToTermStart(floor, record) : floor;
}

function getCandidates(parts: GatewayParts, req: LinkRequest, lease: PrimaryLease | undefined, floor: LogPosition | undefined): ReadCandidate[] {
	const now = parts.clock.now();
	const candidates: ReadCandidate[] = [];
	for (const {entry, pool} of parts.directory.list(req.route.group)) {
		const isPrimary = entry.id === lease?.primaryId;
		const usable = isPrimary ? true : (floor !== undefined && !entry.leaving);
		if (!usable || (req.excluded?.has(entry.id) ?? false) || pool.health.getSuspicion(now)) {
			continue;
		}

		const stats = parts.knowledge.getStats(entry.id);
		candidates.push({
			endpointId: entry.id,
			isPrimary,
			sameZone: entry.availabilityZone === parts.availabilityZone,
			load: pool.inUse + pool.waiting,
			slots: entry.slots,
			serviceMs: stats.serviceMs,
			catchUpMs: isPrimary || !floor ? 0 : predictCatchUp(parts.knowledge.getSamples(entry.group), stats, floor, parts.elapsedClock.elapsed()),
		});
	}

	return candidates;
}

async function acquireAt(parts: GatewayParts, req: LinkRequest, endpoint: KnownEndpoint, lease?: PrimaryLease, floor?: LogPosition): Promise<AcquiredLink | undefined> {
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
	// The lease may have expired, or the caller may have left, during the wait.
	const stillHolds = !lease || parts.primaryLeases.get(lease.group, parts.elapsedClock.elapsed())?.epoch === lease.epoch;
	if (!stillHolds || !req.isWanted()) {
		pool.release(sessionLink);
		return undefined;
	}

	req.trace.endpoints.push(endpoint.entry.id);
	req.trace.epoch = lease?.epoch;
	req.trace.floor = floor;
	const endWork = lease ? parts.primaryWork.begin(lease.group) : undefined;
	const acquired: AcquiredLink = {
		endpoint,
		sessionLink,
		lease,
		floor,
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
