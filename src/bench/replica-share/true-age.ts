import type {LogPosition} from '../../terms/log-position.js';
import type {ShareSystem} from './share-system.js';

/** Returns the true age of the data in a log: the time since the primary wrote the first entry that the log lacks, in milliseconds; 0 where it lacks none. */
export function getTrueAgeMs(system: ShareSystem, {position}: LogPosition, now: number): number {
	const missing = system.servers[0].member.log.get(position + 1);
	return missing ? now - missing.writtenAt : 0;
}
