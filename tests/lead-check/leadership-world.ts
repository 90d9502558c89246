import type {Random} from '../../src/random/random.js';
import {ReadPolicy, type Route} from '../../src/routes/routing.js';
import type {SimulatedProxies} from '../../src/stand-ins/proxies/simulated-proxies.js';
import type {VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import type {DrainWatch} from './drain-watch.js';
import type {LeadershipHistory} from './leadership-history.js';

/** The simulated system of a schedule. */
export type World = {
	readonly system: SimulatedProxies;
	readonly history: LeadershipHistory;
	readonly random: Random;
	readonly clock: VirtualClock;
	/** Names of the proxies. */
	readonly proxies: readonly string[];
	/** Checks the new work of leaving servers; undefined where faults may keep proxies from learning of them. */
	readonly drains?: DrainWatch;
	/** Time after which a leaving server gets no new work, in milliseconds; undefined without a bound. */
	readonly maxLeavingMs?: number;
	/** Virtual time at which the last fault is injected. */
	faultsEndAt: number;
	stopped: boolean;
	served: number;
};

/** Name of the only group in every schedule. */
export const GROUP = 'nights';

/** Names of the proxies. */
export const PROXIES = ['entry-1', 'entry-2', 'entry-3', 'entry-4'];

/** More proxies than the endpoints have connections for, so that three of them are pool hosts for the others. */
export const LARGE_FLEET = [...PROXIES, 'entry-5', 'entry-6'];

/** Connections that an endpoint accepts from a large fleet. */
export const LARGE_FLEET_CONNECTIONS = 6;

/** One route for each read policy. */
export const ROUTES: readonly Route[] = [
	{name: 'sync', policy: ReadPolicy.Primary, maxReadAgeMs: 0},
	{name: 'review', policy: ReadPolicy.Bounded, maxReadAgeMs: 1500},
	{name: 'roster', policy: ReadPolicy.OwnWrites, maxReadAgeMs: 2500},
].map(route => ({
	...route, database: route.name, group: GROUP, statementTimeoutMs: 1000, targetLatencyMs: 200, priority: 1,
}));

/** Returns a random item. */
export function pick<T>({random}: World, items: readonly T[]): T {
	return items[Math.floor(random.fraction() * items.length)]!;
}
