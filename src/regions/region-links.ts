import type {Log} from '../log/log.js';
import type {HostZones} from './host-zones.js';
import {createRegionLink, type RegionLink} from './region-link.js';
import type {Topology} from './topology.js';

/** The links from this host's region to the others. */
export type RegionLinks = {
	/** Adds the round-trip time of a call to a host in `zone` that was answered at once, in milliseconds. */
	noteRoundTrip(zone: string, ms: number, now: number): void;
	/** Notes that something was sent to `zone`; has the link measured where no sample is recent. */
	noteCrossing(zone: string, now: number): void;
	/** Returns the share of reads that may go to `zone` although another endpoint can serve them, from 0 to 1; 1 for a zone of this host's region. */
	getCrossingShare(zone: string, now: number): number;
};

/** What the links need. */
export type RegionLinksOptions = {
	readonly topology: Topology;
	readonly hostZones: HostZones;
	readonly log: Log;
	/** Has the host at `ip:port` answer at once, which adds a sample. */
	probe(address: string): Promise<unknown>;
};

/** Age of the last sample from which a host that sends to another region measures the link itself, in milliseconds: 100 bytes for each host and second. */
const PROBE_AFTER_MS = 1000;

/** Creates the links. */
export function createRegionLinks({topology, hostZones, log, probe}: RegionLinksOptions): RegionLinks {
	const links = new Map<string, RegionLink>();
	const probedAt = new Map<string, number>();
	const congested = new Set<string>();
	let probes = 0;

	const getLink = (region: string) => {
		const known = links.get(region) ?? createRegionLink();
		links.set(region, known);
		return known;
	};

	const logChange = (region: string, now: number) => {
		const link = getLink(region);
		const share = link.getCrossingShare(now);
		if (share <= 0.5 && !congested.has(region)) {
			congested.add(region);
			log.warn('the link to another region is congested', {region, share, ...link.getTimes(now)});
		} else if (share === 1 && congested.delete(region)) {
			log.info('the link to another region is free', {region, ...link.getTimes(now)});
		}
	};

	return {
		noteRoundTrip(zone, ms, now) {
			if (!topology.isNear(zone)) {
				const region = topology.getRegion(zone);
				getLink(region).note(ms, now);
				logChange(region, now);
			}
		},
		noteCrossing(zone, now) {
			const region = topology.getRegion(zone);
			const last = Math.max(getLink(region).lastAt ?? Number.NEGATIVE_INFINITY, probedAt.get(region) ?? Number.NEGATIVE_INFINITY);
			if (topology.isNear(zone) || now - last < PROBE_AFTER_MS) {
				return;
			}

			const addresses = hostZones.getAddresses(other => topology.getRegion(other) === region);
			if (addresses.length > 0) {
				probedAt.set(region, now);
				probes++;
				void probe(addresses[probes % addresses.length]!);
			}
		},
		getCrossingShare: (zone, now) => topology.isNear(zone) ? 1 : getLink(topology.getRegion(zone)).getCrossingShare(now),
	};
}
