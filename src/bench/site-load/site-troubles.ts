import type {SimulatedProxies} from '../../stand-ins/proxies/simulated-proxies.js';

/** A stretch of a day, with what is wrong in it. */
export type SiteStretch = {
	readonly name: string;
	readonly lengthMs: number;
	/** Multiple of the calm rate of requests. */
	readonly rate: number;
	begin(system: SimulatedProxies): void;
	end(system: SimulatedProxies): void;
};

function nothing(): void {} // eslint-disable-line @typescript-eslint/no-empty-function

const getPrimaries = (system: SimulatedProxies) => system.groups.map(group => group.leader);

const getReplicas = (system: SimulatedProxies) => system.groups.flatMap(group => group.servers.filter(({id}) => id !== group.leader.id));

/** Time that a slow server adds to each statement, in milliseconds: a heavy statement takes some four times as long. */
const SLOW_MS = 100;

const FAR_BEHIND_MS = 1800;

/** A day: calm times, then one trouble after the other, each with some time to recover. */
export const SITE_DAY: readonly SiteStretch[] = [
	{
		name: 'calm', lengthMs: 4000, rate: 1, begin: nothing, end: nothing,
	},
	{
		name: 'burst of three times as many', lengthMs: 4000, rate: 3, begin: nothing, end: nothing,
	},
	{
		name: 'after the burst', lengthMs: 2000, rate: 1, begin: nothing, end: nothing,
	},
	{
		name: 'one replica of each group slow',
		lengthMs: 4000,
		rate: 1,
		begin(system) {
			for (const group of system.groups) {
				group.servers.find(({id}) => id !== group.leader.id)!.slowMs = SLOW_MS;
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
				server.lagMs = FAR_BEHIND_MS;
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
				server.loseAnswers += 5;
			}
		},
		end: nothing,
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
		name: 'after the crash', lengthMs: 2000, rate: 1, begin: nothing, end: nothing,
	},
];
