import type {Random} from '../../random/random.js';
import type {VirtualClock} from '../../stand-ins/time/virtual-clock.js';
import type {RateLimit} from '../../workspaces/workspace.js';

/** Enforcement of one limit over a fleet of hosts. */
export type FleetLimit = {
	/** Number of messages between hosts so far. */
	readonly messages: number;
	/** Resolves with whether an operation may run at a host. */
	take(host: number): Promise<boolean>;
	setLimit(limit: RateLimit): void;
	/** Kills the host that coordinates; where none does, the first host. Its callers go to other hosts. */
	killCoordinator(): void;
	/** Numbers of the hosts that were killed. */
	readonly dead: ReadonlySet<number>;
};

/** Dependencies and settings of a {@link FleetLimit}. */
export type FleetLimitOptions = {
	readonly clock: VirtualClock;
	readonly random: Random;
	readonly hosts: number;
	readonly limit: RateLimit;
};

/** One-way latency between hosts, in milliseconds. */
export const ONE_WAY_MS = 1;
