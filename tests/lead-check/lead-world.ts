import type {Random} from '../../src/random/random.js';
import {ReadPolicy, type Route} from '../../src/routes/routing.js';
import type {SimulatedProxies} from '../../src/stand-ins/proxies/simulated-proxies.js';
import type {VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import type {LeadHistory} from './lead-history.js';

/** What a schedule plays in. */
export type World = {
	readonly system: SimulatedProxies;
	readonly history: LeadHistory;
	readonly random: Random;
	readonly clock: VirtualClock;
	/** Names of the proxies. */
	readonly proxies: readonly string[];
	stopped: boolean;
	served: number;
};

/** The one group of every schedule. */
export const GROUP = 'nights';

/** Names of the proxies. */
export const PROXIES = ['entry-1', 'entry-2', 'entry-3', 'entry-4'];

/** More of them, before endpoints that have too few connections for each, so that three lend theirs to the others. */
export const CROWD = [...PROXIES, 'entry-5', 'entry-6'];

/** Connections that an endpoint takes from a crowd. */
export const CROWD_CONNECTIONS = 6;

/** One route for each policy. */
export const ROUTES: readonly Route[] = [
	{name: 'sync', policy: ReadPolicy.Primary, maxReadAgeMs: 0},
	{name: 'review', policy: ReadPolicy.Bounded, maxReadAgeMs: 1500},
	{name: 'roster', policy: ReadPolicy.OwnWrites, maxReadAgeMs: 2500},
].map(route => ({
	...route, database: route.name, group: GROUP, statementTimeoutMs: 1000, targetLatencyMs: 200, priority: 1,
}));

/** Chooses one of the items. */
export function pick<T>({random}: World, items: readonly T[]): T {
	return items[Math.floor(random.fraction() * items.length)]!;
}
