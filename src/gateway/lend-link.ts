import {setImmediate as nextTurn} from 'node:timers/promises';
import type {KnownEndpoint} from '../links/endpoint-directory.js';
import type {SessionLink} from '../links/link-session.js';
import {EVIDENCE_MS, type LeadEvidence} from '../leadership/lead-evidence.js';
import {CONFIRM_INTERVAL_MS} from '../mirror/store-mirror.js';
import type {ReadCandidate} from '../placement/choose-endpoint.js';
import {predictCatchUp} from '../placement/catch-up.js';
import {getHigherFloor, limitToStart} from '../placement/position-samples.js';
import {ReadPolicy, type Route} from '../routes/routing.js';
import {SessionState} from '../statements/statement.js';
import type {LogPosition} from '../terms/log-position.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import type {Workspace} from '../workspaces/workspace.js';
import type {GatewayParts} from './gateway-parts.js';
import type {QueuePatience} from './queue-patience.js';
import type {SessionMemory} from './session-memory.js';
import type {StatementTrace} from './statement-trace.js';

/** A connection to an endpoint, lent for one statement or transaction. */
export type LentLink = {
	readonly endpoint: KnownEndpoint;
	readonly sessionLink: SessionLink;
	/** Under what the endpoint is used as the primary; undefined where it is read as a replica. */
	readonly evidence?: LeadEvidence;
	/** What a replica's log must hold. */
	readonly floor?: LogPosition;
	/** State of the connection after the last answer on it. */
	state: SessionState;
	/** Gives the connection back, or drops it where it ended. */
	release(): void;
};

/** Who wants a connection, and for what. */
export type LinkRequest = {
	readonly route: Route;
	readonly memory: SessionMemory;
	/** Workspace on whose behalf it runs; undefined where the caller has none. */
	readonly workspace?: Workspace;
	/** Elapsed time at or after which the first byte of the statement, or of its transaction, had come. */
	readonly arrivedAt: number;
	/** Steady time until which a connection is of use. */
	readonly until: number;
	/** How long it queues for one. */
	readonly patience: QueuePatience;
	/** Whether the connection is for one statement; else it is for a transaction. */
	readonly single?: boolean;
	/** Whether it is for one read, which may run more than once. */
	readonly reads?: boolean;
	/** Endpoints that have been tried. */
	readonly excluded?: ReadonlySet<string>;
	/** Whether the caller is still there. */
	isWanted(): boolean;
	readonly trace: StatementTrace;
};

/**
 * Floors are taken this much younger than the staleness allows, in milliseconds: the hosts' clocks differ in rate, by far
 * less than this over the seconds that a staleness lasts.
 */
const FLOOR_MARGIN_MS = 5;

/** A read that waits for a replica to catch up gives it this much longer than predicted, in milliseconds. */
const CATCH_UP_MARGIN_MS = 5;

/**
 * Longest wait for a connection to one endpoint while another could serve the read, in milliseconds: a few statements. Guards against a read that waits at a
 * primary whose connections are all in transactions until its time is up, while a replica stands idle.
 */
const LONGEST_AT_ONE_MS = 100;

/** Longest wait before the circumstances are looked at again, in milliseconds. */
const RECHECK_MS = 50;

/** Without a confirmation for so long this host is cut off from the store and from those that reach it, in milliseconds: evidence has ended, and a try since has failed. */
const ISOLATED_AFTER_MS = EVIDENCE_MS + CONFIRM_INTERVAL_MS;

/** A statement waits so long at an isolated host, in milliseconds: one that was just resumed has its confirmation within that. */
const ISOLATED_WAIT_MS = 150;

/**
 * Whether waiting for evidence is hopeless. Guards callers of a host that is cut off: held until their time is up they are refused with none left
 * for another host, which could serve them.
 */
function isHopeless({mirror, clock, elapsedClock}: GatewayParts, waitingSince: number): boolean {
	const isIsolated = mirror.confirmedAt !== undefined && elapsedClock.elapsed() - mirror.confirmedAt > ISOLATED_AFTER_MS;
	return isIsolated && clock.now() - waitingSince > ISOLATED_WAIT_MS;
}

/** Lends a connection to the primary, once there is evidence of one that answers; undefined where none was to be had in time, or only other hosts reach it. */
export async function lendPrimary(parts: GatewayParts, req: LinkRequest): Promise<LentLink | undefined> {
	const startedAt = parts.clock.now();
	while (req.isWanted() && parts.clock.now() < req.until) {
		if (parts.cutOffs.isCutOff(req.route.group, parts.clock.now())) {
			// The caller's next try reaches another host, which can serve it; here it would wait for nothing.
			return undefined;
		}

		const evidence = parts.evidences.get(req.route.group, parts.elapsedClock.elapsed());
		const endpoint = evidence && parts.directory.get(evidence.primaryId);
		if (!evidence && isHopeless(parts, startedAt)) {
			return undefined;
		}

		if (!evidence || !endpoint || endpoint.pool.health.getSuspicion(parts.clock.now())) {
			await waitForChange(parts, req);
			continue;
		}

		const until = Math.min(req.until, req.patience.start(parts.clock.now()));
		const lent = await acquire(parts, {...req, until}, endpoint, evidence);
		if (req.patience.isOver(parts.clock.now()) || lent) {
			return lent;
		}

		await nextTurn();
		await waitForChange(parts, req);
	}

	return undefined;
}

/** Lends a connection for reads under the route's policy; undefined where none was to be had in time. */
export async function lendForRead(parts: GatewayParts, req: LinkRequest): Promise<LentLink | undefined> {
	if (req.route.policy === ReadPolicy.Primary) {
		return lendPrimary(parts, req);
	}

	const startedAt = parts.clock.now();
	/** Endpoints of which no connection came free in time, since all were last tried. */
	const passedOver = new Set<string>();
	while (req.isWanted() && parts.clock.now() < req.until) {
		const evidence = parts.evidences.get(req.route.group, parts.elapsedClock.elapsed());
		const floor = getFloor(parts, req) ?? await borrowFloor(parts, req, evidence);
		const candidates = getCandidates(parts, req, evidence, floor);
		const chosen = parts.placement.choose(candidates.filter(({endpointId}) => !passedOver.has(endpointId)));
		const endpoint = chosen && parts.directory.get(chosen.endpointId);
		if (!endpoint) {
			if (passedOver.size > 0) {
				passedOver.clear();
				await nextTurn();
				continue;
			}

			if ((req.excluded?.size ?? 0) > 0 || isHopeless(parts, startedAt)) {
				return undefined;
			}

			await waitForChange(parts, req);
			continue;
		}

		if (chosen.catchUpMs > 0) {
			// Asked now it would refuse for lack of the floor, and the read would have come all the way for nothing.
			await parts.clock.sleep(Math.min(chosen.catchUpMs + CATCH_UP_MARGIN_MS, req.until - parts.clock.now()));
		}

		const queueUntil = Math.min(req.until, req.patience.start(parts.clock.now()));
		const until = candidates.length > 1 ? Math.min(queueUntil, parts.clock.now() + LONGEST_AT_ONE_MS) : queueUntil;
		const lent = await acquire(parts, {...req, until}, endpoint, chosen.isPrimary ? evidence : undefined, chosen.isPrimary ? undefined : floor);
		if (req.patience.isOver(parts.clock.now()) || lent) {
			return lent;
		}

		if (parts.clock.now() >= until) {
			passedOver.add(endpoint.entry.id);
			continue;
		}

		await nextTurn();
		await waitForChange(parts, req);
	}

	return undefined;
}

/** Asks a host that sees more of the group's primary for a position, so that a replica can serve; undefined where none is to be had. */
async function borrowFloor(parts: GatewayParts, req: LinkRequest, evidence: LeadEvidence | undefined): Promise<LogPosition | undefined> {
	if (!evidence || !await parts.sampleBorrowing.borrow(evidence.group, evidence.primaryId)) {
		return undefined;
	}

	return getFloor(parts, req);
}

/** What a replica must hold to serve a read; undefined where no position is known that covers what the route asks for. */
function getFloor({knowledge, mirror}: GatewayParts, {route, memory, arrivedAt}: LinkRequest): LogPosition | undefined {
	const sampled = knowledge.getSamples(route.group).getFloor(arrivedAt - route.maxReadAgeMs + FLOOR_MARGIN_MS);
	const own = route.policy === ReadPolicy.OwnWrites ? memory.floors.get(route.group) : undefined;
	const floor = sampled && getHigherFloor(sampled, own);
	const record = mirror.state.leadership.get(route.group);
	return floor && record ? limitToStart(floor, record) : floor;
}

function getCandidates(parts: GatewayParts, req: LinkRequest, evidence: LeadEvidence | undefined, floor: LogPosition | undefined): ReadCandidate[] {
	const now = parts.clock.now();
	const candidates: ReadCandidate[] = [];
	for (const {entry, pool} of parts.directory.list(req.route.group)) {
		const isPrimary = entry.id === evidence?.primaryId;
		const usable = isPrimary ? true : (floor !== undefined && !entry.leaving);
		if (!usable || (req.excluded?.has(entry.id) ?? false) || pool.health.getSuspicion(now)) {
			continue;
		}

		const figures = parts.knowledge.getFigures(entry.id);
		candidates.push({
			endpointId: entry.id,
			isPrimary,
			sameZone: entry.availabilityZone === parts.availabilityZone,
			load: pool.lent + pool.waiting,
			slots: entry.slots,
			serviceMs: figures.serviceMs,
			catchUpMs: isPrimary || !floor ? 0 : predictCatchUp(parts.knowledge.getSamples(entry.group), figures, floor, parts.elapsedClock.elapsed()),
		});
	}

	return candidates;
}

async function acquire(parts: GatewayParts, req: LinkRequest, endpoint: KnownEndpoint, evidence?: LeadEvidence, floor?: LogPosition): Promise<LentLink | undefined> {
	const {pool} = endpoint;
	const askedAt = parts.clock.now();
	const sessionLink = await pool.acquire({
		priority: req.route.priority,
		until: req.until,
		values: req.memory.values,
		workspace: req.workspace?.name,
		single: req.single ?? false,
		read: req.reads ? {epoch: evidence?.epoch} : undefined,
		least: evidence?.start,
	});
	if (!sessionLink) {
		return undefined;
	}

	const waitedMs = parts.clock.now() - askedAt;
	parts.metrics.observeLinkWait(waitedMs / 1000);
	req.trace.linkWaitMs += waitedMs;
	// The wait may have outlasted the evidence, or the caller.
	const stillHolds = !evidence || parts.evidences.get(evidence.group, parts.elapsedClock.elapsed())?.epoch === evidence.epoch;
	if (!stillHolds || !req.isWanted()) {
		pool.release(sessionLink);
		return undefined;
	}

	req.trace.endpoints.push(endpoint.entry.id);
	req.trace.epoch = evidence?.epoch;
	req.trace.floor = floor;
	const endWork = evidence ? parts.primaryWork.begin(evidence.group) : undefined;
	const lent: LentLink = {
		endpoint,
		sessionLink,
		evidence,
		floor,
		state: SessionState.Idle,
		release() {
			endWork?.();
			// Guards against the next caller's statement inside this transaction, should the endpoint have kept it open.
			if (lent.state !== SessionState.Idle) {
				sessionLink.link.cut();
			}

			pool.release(sessionLink);
		},
	};
	return lent;
}

async function waitForChange({evidences, clock}: GatewayParts, {until}: LinkRequest) {
	const alarm = createSleepAlarm();
	await Promise.race([evidences.changed(alarm), clock.sleep(Math.min(RECHECK_MS, until - clock.now()), alarm)]);
	alarm.abort();
}
