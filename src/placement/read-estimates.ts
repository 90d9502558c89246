import type {EndpointLoad} from '../links/endpoint-load.js';
import type {KnownEndpoint} from '../links/endpoint-directory.js';
import type {LoadEstimate, LoadView} from '../endpoint-load/load-view.js';
import type {ServiceTimes, StatementKey} from '../endpoint-load/service-times.js';
import type {Log} from '../log/log.js';
import {
	createGroupOutliers, ObservedOutcome, type GroupOutliers, type OutlierChange,
} from '../outliers/group-outliers.js';
import type {RegisteredEndpoint} from '../routes/routing.js';
import type {LogPosition} from '../terms/log-position.js';
import type {ReadCandidate} from './choose-endpoint.js';
import type {PlacementMetrics} from './placement-metrics.js';
import {createReplicaAdmission, type ReplicaAdmission} from './replica-admission.js';
import type {RoundTrips} from './round-trips.js';

/** Estimates the time to the response of each endpoint, from the loads that pool hosts report and from this host's own observations. */
export type ReadEstimates = {
	/** Returns the endpoint as a candidate for a read; undefined where it may get no reads now. */
	getCandidate(endpoint: KnownEndpoint, read: EstimatedRead): ReadCandidate | undefined;
	/** Returns what is known of the endpoint's load. */
	getLoad(endpoint: KnownEndpoint, now: number): LoadEstimate;
	/** Returns the usual time of a statement, in milliseconds. */
	getUsualMs(statement: StatementKey): number;
	/** Sets the endpoints that a group has; `primaryId` is undefined while no primary is known. */
	setMembers(endpoints: readonly KnownEndpoint[], primaryId: string | undefined, now: number): void;
	/** Notes that a read is sent to the candidate. */
	noteChosen(candidate: ReadCandidate, group: string, now: number, elapsed: number): void;
	/** Notes that a request is sent to the endpoint; returns a function to be called once it has ended. */
	noteSent(endpointId: string, now: number): () => void;
	/** Notes how a request to an endpoint ended. */
	noteEnded(end: ObservedEnd): void;
	/** Drops what is known of all other endpoints. */
	keepOnly(endpointIds: ReadonlySet<string>): void;
};

/** A read for which candidates are estimated. */
export type EstimatedRead = {
	readonly isPrimary: boolean;
	/** Log position that a replica must have reached. */
	readonly floor: LogPosition | undefined;
	readonly statement: StatementKey;
	readonly now: number;
	readonly elapsed: number;
};

/** The end of a request to an endpoint. */
export type ObservedEnd = {
	readonly entry: RegisteredEndpoint;
	/** How it ended; undefined where that tells nothing about the endpoint, as for a refusal. */
	readonly outcome: ObservedOutcome | undefined;
	/** The statement; undefined for other requests, whose times are not compared. */
	readonly statement: StatementKey | undefined;
	/** Time from sending to the end, without the wait that was predicted for it, in milliseconds. */
	readonly tookMs: number;
	/** The floor below which a replica refused it; undefined where it did not. */
	readonly laggingFloor: LogPosition | undefined;
	/** Predicted time until the replica holds that floor, in milliseconds. */
	readonly reachedInMs: number | undefined;
	/** Position that the endpoint reported. */
	readonly held: LogPosition | undefined;
	readonly now: number;
	readonly elapsed: number;
};

/** What the estimates need. */
export type ReadEstimatesOptions = {
	readonly availabilityZone: string;
	readonly loads: LoadView;
	readonly serviceTimes: ServiceTimes;
	readonly roundTrips: RoundTrips;
	readonly metrics: PlacementMetrics;
	readonly log: Log;
	/** Returns the load of this host's own pool; undefined where the host is no pool host of the endpoint. */
	getOwnLoad(endpoint: KnownEndpoint, now: number): EndpointLoad | undefined;
};

/** Time for opening a connection, in milliseconds, where the host's own pool has no free one. */
const OPEN_MS = 12;

/** Weight of a load estimate from which a read may be refused because of it. */
const KNOWN_WEIGHT = 0.5;

/** Share of its concurrency budget below which an endpoint is idle. */
const IDLE_SHARE = 0.5;

/** Creates estimates without observations. */
export function createReadEstimates({availabilityZone, loads, serviceTimes, roundTrips, metrics, log: parentLog, getOwnLoad}: ReadEstimatesOptions): ReadEstimates {
	const log = parentLog.withPrefix('placement: ');
	const outliers = new Map<string, GroupOutliers>();
	const admissions = new Map<string, ReplicaAdmission>();
	/** The endpoints and the primary that the outliers of each group were told last. */
	const told = new Map<string, {readonly endpoints: readonly KnownEndpoint[]; readonly primaryId: string | undefined}>();

	const getOutliers = (group: string) => getOrCreate(outliers, group, createGroupOutliers);
	const getAdmission = (endpointId: string) => getOrCreate(admissions, endpointId, createReplicaAdmission);

	const getLoad = (endpoint: KnownEndpoint, now: number, serviceMs: number) => loads.get(endpoint.entry.id, now, {
		slots: endpoint.entry.slots, serviceMs, own: getOwnLoad(endpoint, now),
	});

	const logChange = (entry: RegisteredEndpoint, change: OutlierChange) => {
		if (change.kind === 'readmitted') {
			log.info('an endpoint is readmitted to reads', {endpoint: entry.id, group: entry.group});
			return;
		}

		const {reason, forMs, errors, relativeTime} = change;
		metrics.countEjection(reason);
		log.warn('an endpoint is ejected from reads', {
			endpoint: entry.id, group: entry.group, reason, forMs, errors, relativeTime: relativeTime === undefined ? undefined : Number(relativeTime.toFixed(2)),
		});
	};

	const noteProgress = ({entry, laggingFloor, reachedInMs, held, elapsed}: ObservedEnd) => {
		if (!held && !laggingFloor) {
			return;
		}

		const replica = getAdmission(entry.id);
		const wasClosed = replica.closed;
		const errorMs = held && replica.note(elapsed, held);
		if (errorMs !== undefined) {
			metrics.observeCatchUpError(Math.abs(errorMs) / 1000);
		}

		if (laggingFloor) {
			replica.noteLagging(elapsed, laggingFloor, reachedInMs);
		}

		if (replica.closed !== wasClosed) {
			log.info(wasClosed ? 'a replica has reached the floor again' : 'a replica is behind the floor of a read', {
				endpoint: entry.id, group: entry.group, floor: laggingFloor, held, reachedInMs, predictionErrorMs: errorMs === undefined ? undefined : Math.round(errorMs),
			});
		}
	};

	return {
		getCandidate(endpoint, {isPrimary, floor, statement, now, elapsed}) {
			const {entry, pool, ownPool} = endpoint;
			const standing = getOutliers(entry.group).getStanding(entry.id, now);
			if (!isPrimary && !standing.usable) {
				return undefined;
			}

			const replica = getAdmission(entry.id);
			const catchUp = isPrimary || !floor ? {catchUpMs: 0, isTrial: false} : replica.predict(elapsed, floor);
			const serviceMs = serviceTimes.getUsualMs(statement) * serviceTimes.getFactor(entry.id, now);
			const load = getLoad(endpoint, now, serviceMs);
			const observed = pool.inUse + pool.waiting;
			const observedWaitMs = (observed / entry.slots) * serviceMs;
			const isOwn = load.ageMs === 0;
			return {
				endpointId: entry.id,
				isPrimary,
				sameZone: entry.availabilityZone === availabilityZone,
				load: observed,
				slots: entry.slots,
				serviceMs,
				catchUpMs: catchUp.catchUpMs,
				estimate: {
					roundTripMs: roundTrips.getMs(entry.availabilityZone, now) ?? 0,
					waitMs: (load.weight * load.waitMs) + ((1 - load.weight) * observedWaitMs),
					serviceMs,
					openMs: isOwn && ownPool.open <= ownPool.inUse ? OPEN_MS : 0,
					isKnown: load.weight >= KNOWN_WEIGHT,
					loadAgeMs: load.ageMs,
					isIdle: load.weight > 0 && load.inFlight + load.queued < IDLE_SHARE * load.limit,
					share: isPrimary ? 1 : Math.min(standing.share, replica.getShare(elapsed)),
					isTrial: !isPrimary && (standing.isTrial || catchUp.isTrial),
				},
			};
		},
		getLoad: (endpoint, now) => getLoad(endpoint, now, 0),
		getUsualMs: statement => serviceTimes.getUsualMs(statement),
		setMembers(endpoints, primaryId, now) {
			const group = endpoints[0]?.entry.group;
			const last = group === undefined ? undefined : told.get(group);
			if (group === undefined || (last?.endpoints === endpoints && last.primaryId === primaryId)) {
				return;
			}

			told.set(group, {endpoints, primaryId});
			getOutliers(group).setMembers(endpoints.filter(({entry}) => !entry.leaving).map(({entry}) => ({
				endpointId: entry.id, slots: entry.slots, isPrimary: entry.id === primaryId,
			})), now);
		},
		noteChosen({endpointId, estimate}, group, now, elapsed) {
			if (estimate && Number.isFinite(estimate.loadAgeMs)) {
				metrics.observeLoadAge(estimate.loadAgeMs / 1000);
			}

			if (estimate?.isTrial) {
				getOutliers(group).noteTrial(endpointId, now);
				getAdmission(endpointId).noteTrial(elapsed);
				log.debug('a read tries an endpoint again', {endpoint: endpointId, group});
			}
		},
		noteSent: (endpointId, now) => loads.noteSent(endpointId, now),
		noteEnded(end) {
			const {entry, outcome, statement, tookMs, now} = end;
			noteProgress(end);
			if (outcome === undefined || !statement) {
				return;
			}

			const relativeTime = outcome === ObservedOutcome.Answered ? serviceTimes.note(entry.id, statement, tookMs, now) : 1;
			const change = getOutliers(entry.group).note(entry.id, outcome, relativeTime, now);
			if (change) {
				logChange(entry, change);
			}
		},
		keepOnly(endpointIds) {
			serviceTimes.keepOnly(endpointIds);
			for (const endpointId of admissions.keys()) {
				if (!endpointIds.has(endpointId)) {
					admissions.delete(endpointId);
				}
			}
		},
	};
}

function getOrCreate<T>(map: Map<string, T>, key: string, create: () => T): T {
	const known = map.get(key);
	if (known !== undefined) {
		return known;
	}

	const created = create();
	map.set(key, created);
	return created;
}
