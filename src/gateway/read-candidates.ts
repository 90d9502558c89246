import type {PrimaryLease} from '../leadership/primary-leases.js';
import {predictCatchUp} from '../placement/catch-up.js';
import type {ReadCandidate} from '../placement/choose-endpoint.js';
import type {LogPosition} from '../terms/log-position.js';
import type {LinkRequest} from './acquire-link.js';
import type {GatewayParts} from './gateway-parts.js';

/** Returns the endpoints that may serve a read: the primary of the lease, and replicas where there is a floor. */
export function getReadCandidates(parts: GatewayParts, req: LinkRequest, lease: PrimaryLease | undefined, floor: LogPosition | undefined): ReadCandidate[] {
	const now = parts.clock.now();
	const endpoints = parts.directory.list(req.route.group);
	parts.estimates?.setMembers(endpoints, lease?.primaryId, now);
	const candidates: ReadCandidate[] = [];
	for (const endpoint of endpoints) {
		const {entry, pool} = endpoint;
		const isPrimary = entry.id === lease?.primaryId;
		const usable = isPrimary ? parts.directory.mayTakeWork(entry.id, parts.elapsedClock.elapsed()) : (floor !== undefined && !entry.leaving);
		if (!usable || (req.excluded?.has(entry.id) ?? false) || pool.health.getSuspicion(now)) {
			continue;
		}

		const elapsed = parts.elapsedClock.elapsed();
		if (parts.estimates) {
			const candidate = parts.estimates.getCandidate(endpoint, {
				isPrimary, floor, statement: {group: entry.group, database: req.route.database, shape: req.statement}, now, elapsed,
			});
			if (candidate) {
				candidates.push(candidate);
			}

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
			catchUpMs: isPrimary || !floor ? 0 : predictCatchUp(parts.knowledge.getSamples(entry.group), stats, floor, elapsed),
		});
	}

	return parts.crossings ? keepCrossing(parts, candidates, now) : candidates;
}

/** Leaves out endpoints in zones to which no further reads may cross, as long as another candidate remains. */
function keepCrossing({crossings, directory, random}: GatewayParts, candidates: ReadCandidate[], now: number): ReadCandidate[] {
	const kept = candidates.filter(({endpointId}) => {
		const share = crossings!.getShare(directory.get(endpointId)!.entry.availabilityZone, now);
		return share >= 1 || random.fraction() < share;
	});
	return kept.length > 0 ? kept : candidates;
}
