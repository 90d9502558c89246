import type {EndpointConfig, WorkClass} from '../groups/group-config.js';
import type {LogPosition} from '../terms/log-position.js';
import type {GroupParts} from './group-parts.js';

/** What a read requires of an endpoint. */
export type ReadNeed = {
	readonly floor: LogPosition;
	/** When the barrier that gave the floor began; absent where the floor is an acknowledged write's. */
	readonly barrierAt?: number;
	readonly maxAgeMs: number;
	readonly class: WorkClass;
	readonly now: number;
};

/** An endpoint to try, and how long to delay the read before it is sent there. */
export type ReadChoice = {
	readonly endpoint: EndpointConfig;
	/** In milliseconds; 0 to send it at once. */
	readonly waitMs: number;
};

/** The parts of a group that a placement may use. */
export type PlacementGroup = Pick<GroupParts, 'knowledge' | 'getGroup' | 'getParts' | 'mayTakeWork'>;

/** Decides where a read runs. A wrong prediction costs an exchange, never a stale result, since each answer is checked. */
export type ReadPlacement = {
	/** Returns the endpoints to try, in order. */
	choose(group: PlacementGroup, need: ReadNeed): readonly ReadChoice[];
};
