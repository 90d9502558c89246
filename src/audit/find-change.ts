import type {Platform} from '../object-store/platform.js';
import {getRequestIdTime} from '../random/request-id.js';
import type {AuditEntry} from './audit-entry.js';
import {getArchiveName, readArchive, type TrailId} from './audit-archive.js';

/** Maximum assumed difference between the wall clocks of hosts and operators, in milliseconds. */
const MAX_CLOCK_SKEW_MS = 600_000;

/** Returns the entry of a change from its object or from the archives that are recent enough to contain it; undefined where there is none. */
export async function findChange(
	platform: Platform,
	trail: TrailId & {readonly audit: readonly AuditEntry[]; readonly nextArchive: number},
	changeId: string,
	timeoutMs: number,
): Promise<AuditEntry | undefined> {
	const earliestMadeAt = (getRequestIdTime(changeId) ?? 0) - MAX_CLOCK_SKEW_MS;
	let entries = trail.audit;
	let sequence = trail.nextArchive;
	for (;;) {
		const found = entries.find(entry => entry.changeId === changeId);
		const oldest = entries[0];
		if (found !== undefined || sequence === 0 || (oldest && oldest.at < earliestMadeAt)) {
			return found;
		}

		sequence--;
		entries = await readArchive(platform, getArchiveName(trail, sequence), timeoutMs) ?? [];
	}
}
