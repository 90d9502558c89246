import type {LogPosition} from '../../terms/log-position.js';
import type {ShareSystem} from './share-system.js';

/** How old what a log holds is in truth: since when an entry of the primary is missing, in milliseconds. */
export function getTrueAgeMs(system: ShareSystem, {position}: LogPosition, now: number): number {
	const missing = system.servers[0].member.log.get(position + 1);
	return missing ? now - missing.writtenAt : 0;
}
