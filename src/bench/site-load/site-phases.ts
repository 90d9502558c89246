import {applyReceived} from '../../stand-ins/plain-group/plain-log.js';
import type {PlainServer} from '../../stand-ins/plain-group/plain-server.js';
import type {SimulatedProxies} from '../../stand-ins/proxies/simulated-proxies.js';

/** A phase of a simulated day, with the faults in it. */
export type SitePhase = {
	readonly name: string;
	readonly lengthMs: number;
	/** Request rate as a multiple of the rate in calm times. */
	readonly rate: number;
	begin(system: SimulatedProxies): void;
	end(system: SimulatedProxies): void;
};

function noop(): void {} // eslint-disable-line @typescript-eslint/no-empty-function

const getPrimaries = (system: SimulatedProxies) => system.groups.map(group => group.latestPrimary);

const getReplicas = (system: SimulatedProxies) => system.groups.flatMap(group => group.servers.filter(({id}) => id !== group.latestPrimary.id));

/** Time that a slow server adds to each statement, in milliseconds; a long statement then takes about four times as long. */
const SLOW_SERVER_EXTRA_MS = 100;

/** Replication lag of replicas that are far behind, in milliseconds. */
const HIGH_LAG_MS = 1800;

/** A simulated day: a calm phase, then a burst and one fault after another, with calm phases to recover after the burst and the crash. */
export const SITE_DAY: readonly SitePhase[] = [
	{
		name: 'calm', lengthMs: 4000, rate: 1, begin: noop, end: noop,
	},
	{
		name: 'burst of three times as many', lengthMs: 4000, rate: 3, begin: noop, end: noop,
	},
	{
		name: 'after the burst', lengthMs: 2000, rate: 1, begin: noop, end: noop,
	},
	{
		name: 'one replica of each group slow',
		lengthMs: 4000,
		rate: 1,
		begin(system) {
			for (const group of system.groups) {
				group.servers.find(({id}) => id !== group.latestPrimary.id)!.slowMs = SLOW_SERVER_EXTRA_MS;
			}
		},
		end(system) {
			for (const server of getReplicas(system)) {
				server.slowMs = 0;
			}
		},
	},
	{
		name: 'replicas far behind',
		lengthMs: 4000,
		rate: 1,
		begin(system) {
			for (const server of getReplicas(system)) {
				server.lagMs = HIGH_LAG_MS;
			}
		},
		end(system) {
			for (const server of getReplicas(system)) {
				server.lagMs = 40;
			}
		},
	},
	{
		name: 'answers lost',
		lengthMs: 3000,
		rate: 1,
		begin(system) {
			for (const server of getReplicas(system)) {
				server.answersToLose += 5;
			}
		},
		end: noop,
	},
	{
		name: 'primary of one group crashed',
		lengthMs: 4000,
		rate: 1,
		begin(system) {
			system.groups[0]!.crash(getPrimaries(system)[0]!);
		},
		end(system) {
			for (const server of system.groups[0]!.servers.filter(({running}) => !running)) {
				system.groups[0]!.restart(server);
			}
		},
	},
	{
		name: 'after the crash', lengthMs: 2000, rate: 1, begin: noop, end: noop,
	},
];

/** Replication lag beyond what any route allows, in milliseconds. */
const EXCESSIVE_LAG_MS = 3000;

/** Time by which a slow endpoint exceeds the others, in milliseconds, and the share of reads that a failing endpoint fails. */
const VERY_SLOW_MS = 250;
const FAIL_SHARE = 0.4;

const getReplicasOfFirst = (system: SimulatedProxies) => getReplicas(system).filter(server => system.groups[0]!.servers.includes(server));

function createPhase(name: string, lengthMs: number, rate: number, apply: (replicas: PlainServer[], isBeginning: boolean, now: number) => void = noop): SitePhase {
	return {
		name,
		lengthMs,
		rate,
		begin(system) {
			apply(getReplicasOfFirst(system), true, system.clock.now());
		},
		end(system) {
			apply(getReplicasOfFirst(system), false, system.clock.now());
		},
	};
}

/** A day on which all replicas of one group lag by more than the routes allow under load, while the other groups have room. */
export const LAG_DAY: readonly SitePhase[] = [
	createPhase('calm', 3000, 1),
	createPhase('all replicas of one group behind', 6000, 1.6, (replicas, isBeginning, now) => {
		for (const server of replicas) {
			server.lagMs = isBeginning ? EXCESSIVE_LAG_MS : 20;
			if (!isBeginning) {
				applyReceived(server.log, now);
			}
		}
	}),
	createPhase('after the lag', 5000, 1.6),
];

/** A day on which one replica of a group is slow, and later one fails part of its reads. */
export const OUTLIER_DAY: readonly SitePhase[] = [
	createPhase('calm', 3000, 1),
	createPhase('one replica very slow', 8000, 1.3, (replicas, isBeginning) => {
		for (const [i, server] of replicas.entries()) {
			server.slowMs = isBeginning && i === 0 ? VERY_SLOW_MS : 0;
		}
	}),
	createPhase('after the slow replica', 3000, 1.3),
	createPhase('one replica fails part of its reads', 8000, 1.3, (replicas, isBeginning) => {
		for (const [i, server] of replicas.entries()) {
			server.failShare = isBeginning && i === 0 ? FAIL_SHARE : 0;
		}
	}),
	createPhase('after the failing replica', 3000, 1.3),
];
