import type {Random} from '../../random/random.js';
import type {VirtualClock} from '../../stand-ins/time/virtual-clock.js';
import type {RateLimit} from '../../workspaces/workspace.js';

/** One way of holding a fleet to one limit. */
export type FleetLimit = {
	/** Messages between hosts so far. */
	readonly messages: number;
	/** Whether an operation may run at a host. */
	take(host: number): Promise<boolean>;
	setLimit(limit: RateLimit): void;
	/** Ends the host that coordinates, where there is one; its callers go to others. */
	killCoordinator(): void;
	/** Hosts that have ended. */
	readonly dead: ReadonlySet<number>;
};

/** What a way is made of. */
export type FleetLimitOptions = {
	readonly clock: VirtualClock;
	readonly random: Random;
	readonly hosts: number;
	readonly limit: RateLimit;
};

/** Way of a message from host to host, in milliseconds. */
export const WAY_MS = 1;
