import type {RoundTrips} from '../regions/round-trips.js';
import type {Topology} from '../regions/topology.js';

/** Statements per second that hosts ran at a group's primary, by the hosts' availability zone. */
export type ZoneDemand = ReadonlyMap<string, number>;

/** Returns how far an endpoint is from a group's callers, in milliseconds: the round-trip time from their hosts, weighted by their demand. */
export type SuccessorDistance = (endpointId: string, demand: ZoneDemand, formerId: string, now: number) => number;

/** What the distance needs. */
export type SuccessorDistanceOptions = {
	readonly topology: Topology;
	readonly roundTrips: RoundTrips;
	/** Returns the zone of an endpoint; undefined if it is not registered. */
	getZone(endpointId: string): string | undefined;
};

/** Round-trip times that count until others are measured, in milliseconds. */
const DEFAULT_OTHER_ZONE_MS = 2;
const DEFAULT_OTHER_REGION_MS = 18;

/**
 * Creates the distance. A host knows round-trip times from its own zone only, so those between two other zones count as its own to a zone of the same region, or of another. Without
 * demand the former primary's zone counts as that of all callers.
 */
export function createSuccessorDistance({topology, roundTrips, getZone}: SuccessorDistanceOptions): SuccessorDistance {
	const getFastest = (isWanted: (zone: string) => boolean, zones: readonly string[], defaultMs: number, now: number) => {
		const times = zones.filter(zone => zone !== topology.ownZone && isWanted(zone)).map(zone => roundTrips.getMs(zone, now)).filter(ms => ms !== undefined);
		return times.length === 0 ? defaultMs : Math.min(...times);
	};

	return (endpointId, demand, formerId, now) => {
		const zone = getZone(endpointId);
		const formerZone = getZone(formerId);
		const known = [...demand].filter(([, rate]) => rate > 0);
		const weights = known.length > 0 || formerZone === undefined ? known : [[formerZone, 1] as const];
		if (zone === undefined || weights.length === 0) {
			return 0;
		}

		const zones = [...weights.map(([callers]) => callers), zone];
		const otherZoneMs = getFastest(topology.isNear, zones, DEFAULT_OTHER_ZONE_MS, now);
		const otherRegionMs = getFastest(other => !topology.isNear(other), zones, DEFAULT_OTHER_REGION_MS, now);
		let weighted = 0;
		let total = 0;
		for (const [callers, rate] of weights) {
			const inOtherZoneMs = topology.isSameRegion(callers, zone) ? otherZoneMs : otherRegionMs;
			weighted += rate * (callers === zone ? 0 : inOtherZoneMs);
			total += rate;
		}

		return weighted / total;
	};
}
