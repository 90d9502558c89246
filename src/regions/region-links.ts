import type {Log} from '../log/log.js';
import type {HostZones} from './host-zones.js';
import {createRegionContact, type RegionContact} from './region-contact.js';
import {createRegionLink, type RegionLink} from './region-link.js';
import type {Topology} from './topology.js';

/** The links from this host's region to the others. */
export type RegionLinks = {
	/** Adds the round-trip time of a call to a host in `zone` that was answered at once, in milliseconds. */
	noteRoundTrip(zone: string, ms: number, now: number): void;
	/** Notes that something was sent to `zone`; has the link measured where no sample is recent. */
	noteCrossing(zone: string, now: number): void;
	/** Notes that a host or an endpoint in `zone` has answered. */
	noteAnswer(zone: string, now: number): void;
	/** Notes that one, named by `target`, has not answered in time. `isProof` is whether the call is one that a running host answers at once. */
	noteSilence(zone: string, target: string, isProof: boolean, now: number): void;
	/** Returns whether the region of `zone` counts as lost; has the link measured in that case, so that its return is noticed. */
	isLost(zone: string, now: number): boolean;
	/** Returns whether any other region counts as lost. */
	isAnyLost(now: number): boolean;
	/** Returns the share of reads that may go to `zone` although another endpoint can serve them, from 0 to 1; 1 for a zone of this host's region, 0 for one of a lost region. */
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
	const contacts = new Map<string, RegionContact>();
	const congested = new Set<string>();
	const lost = new Set<string>();
	let probes = 0;

	const getLink = (region: string) => {
		const known = links.get(region) ?? createRegionLink();
		links.set(region, known);
		return known;
	};

	const getContact = (region: string) => {
		const known = contacts.get(region) ?? createRegionContact();
		contacts.set(region, known);
		return known;
	};

	const updateLost = (region: string, now: number) => {
		const isLost = getContact(region).isLost(now);
		if (isLost && !lost.has(region)) {
			lost.add(region);
			log.warn('another region does not answer; what needs it is refused', {region});
		} else if (!isLost && lost.delete(region)) {
			log.info('another region answers again', {region});
		}

		return isLost;
	};

	const noteCrossing = (zone: string, now: number) => {
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
		noteCrossing,
		noteAnswer(zone, now) {
			const region = topology.getRegion(zone);
			if (region !== topology.ownRegion) {
				getContact(region).noteAnswer(now);
				if (lost.size > 0) {
					updateLost(region, now);
				}
			}
		},
		noteSilence(zone, target, isProof, now) {
			const region = topology.getRegion(zone);
			if (region !== topology.ownRegion) {
				getContact(region).noteSilence(target, isProof, now);
				updateLost(region, now);
				// A second host is asked at once, since one silent target proves nothing about its region.
				noteCrossing(zone, now);
			}
		},
		isLost(zone, now) {
			const region = topology.getRegion(zone);
			if (!contacts.has(region) || !updateLost(region, now)) {
				return false;
			}

			noteCrossing(zone, now);
			return true;
		},
		isAnyLost: now => [...contacts.values()].some(contact => contact.isLost(now)),
		getCrossingShare(zone, now) {
			const region = topology.getRegion(zone);
			if (region === topology.ownRegion) {
				return 1;
			}

			return getContact(region).isLost(now) ? 0 : getLink(region).getCrossingShare(now);
		},
	};
}
