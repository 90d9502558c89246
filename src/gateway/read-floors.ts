import type {PrimaryLease} from '../leadership/primary-leases.js';
import type {ReadCandidate} from '../placement/choose-endpoint.js';
import {clampToTermStart, getHigherFloor} from '../placement/position-samples.js';
import {ReadPolicy} from '../routes/routing.js';
import type {LogPosition} from '../terms/log-position.js';
import type {LinkRequest} from './acquire-link.js';
import type {GatewayParts} from './gateway-parts.js';

/**
 * Floors are chosen this much newer than the maximum read age requires, in milliseconds. The hosts' clocks differ in rate, but by far
 * less than this over the seconds of a read age.
 */
const FLOOR_MARGIN_MS = 5;

/** Minimum age of the newest known position of a primary at which a newer one is fetched, in milliseconds. At 200 ms, 81 hosts would fetch up to 400 positions a second for one lagging group. */
const SAMPLE_REFRESH_MS = 1000;

/**
 * Requests a position of the group's primary from a host that uses the primary more often, so that a replica can serve the read. Returns undefined where
 * no host has one.
 */
export async function fetchFloor(parts: GatewayParts, req: LinkRequest, lease: PrimaryLease | undefined): Promise<LogPosition | undefined> {
	if (!lease || !await parts.sampleFetcher.fetch(lease.group, lease.primaryId)) {
		return undefined;
	}

	return getFloor(parts, req);
}

/** Returns the log position that a replica must have reached to serve the read; undefined where no known position is recent enough for the route. */
export function getFloor({knowledge, mirror}: GatewayParts, {route, memory, arrivedAt}: LinkRequest): LogPosition | undefined {
	const sampled = knowledge.getSamples(route.group).getFloor(arrivedAt - route.maxReadAgeMs + FLOOR_MARGIN_MS);
	const own = route.policy === ReadPolicy.OwnWrites ? memory.floors.get(route.group) : undefined;
	const floor = sampled && getHigherFloor(sampled, own);
	const record = mirror.state.leadership.get(route.group);
	return floor && record ? clampToTermStart(floor, record) : floor;
}

/**
 * Has a newer position of the primary fetched while a replica has to catch up. A host that rarely sees the primary's positions has to choose floors that are newer
 * than the route requires, for which reads would wait longer.
 */
export function refreshSamples({estimates, knowledge, sampleFetcher, elapsedClock}: GatewayParts, lease: PrimaryLease | undefined, candidates: readonly ReadCandidate[]) {
	if (!estimates || !lease || candidates.every(({catchUpMs}) => catchUpMs === 0)) {
		return;
	}

	const newest = knowledge.getSamples(lease.group).getNewest();
	if (!newest || elapsedClock.elapsed() - newest.askedAt > SAMPLE_REFRESH_MS) {
		void sampleFetcher.fetch(lease.group, lease.primaryId);
	}
}
