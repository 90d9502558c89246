import type {Platform} from '../object-store/platform.js';
import {getRequestIdTime} from '../random/request-id.js';
import type {AuditEntry} from './audit-entry.js';
import {getArchiveName, readArchive, type Trail} from './audit-archive.js';

/** How far the calendars of hosts and operators are taken to be apart at most, in milliseconds. */
const MAX_SKEW_MS = 600_000;

/** Finds the entry of a change beside its object, or in the archives that are young enough to hold it. */
export async function findChange(
	platform: Platform,
	trail: Trail & {readonly audit: readonly AuditEntry[]; readonly nextArchive: number},
	changeId: string,
	timeoutMs: number,
): Promise<AuditEntry | undefined> {
	const madeAt = (getRequestIdTime(changeId) ?? 0) - MAX_SKEW_MS;
	let entries = trail.audit;
	let sequence = trail.nextArchive;
	for (;;) {
		const found = entries.find(entry => entry.changeId === changeId);
		const oldest = entries[0];
		if (found !== undefined || sequence === 0 || (oldest && oldest.at < madeAt)) {
			return found;
		}

		sequence--;
		entries = await readArchive(platform, getArchiveName(trail, sequence), timeoutMs) ?? [];
	}
}
