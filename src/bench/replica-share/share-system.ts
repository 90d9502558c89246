import {createAdmission} from '../../admission/create-admission.js';
import type {VersionedGroup} from '../../configuration/configuration.js';
import {createGroupControl} from '../../failover/group-control.js';
import {DEFAULT_FAILOVER_SETTINGS} from '../../failover/failover-settings.js';
import type {GroupFailover, GroupFailoverContext} from '../../failover/group-failover.js';
import {getPollTimes} from '../../failover/poll-times.js';
import {createReplicaWatch} from '../../failover/replica-watch.js';
import {groupConfigSchema} from '../../groups/group-config.js';
import {createGroupOwner, type GroupOwner} from '../../owners/group-owner.js';
import type {Random} from '../../random/random.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import {createDatabaseGroup} from '../../stand-ins/database/database-group.js';
import type {DatabaseServer} from '../../stand-ins/database/database-server.js';
import {createInMemoryEndpoints} from '../../stand-ins/database/in-memory-endpoints.js';
import type {Clock} from '../../time/clock.js';
import {createVirtualSchedule, type VirtualSchedule} from '../virtual-schedule.js';

/** One simulated database group with the product's owners, on a virtual schedule. */
export type ShareSystem = {
	readonly schedule: VirtualSchedule;
	readonly random: Random;
	/** The servers; the first is the primary. */
	readonly servers: readonly [DatabaseServer, DatabaseServer, DatabaseServer];
	readonly owners: readonly GroupOwner[];
	/** Returns the server of an endpoint, by the endpoint's name. */
	getServerOrThrow(endpoint: string): DatabaseServer;
	stop(): void;
};

/** One-way latency between hosts, in milliseconds. */
export const ONE_WAY_MS = 1;

export const SLOTS = 3;
export const CONNECTIONS = 20;
export const OWNERS = 2;

/** Mean time for which a statement holds a slot, in milliseconds. */
export const SERVICE_MS = 4;

const ENDPOINTS = ['hall-a', 'hall-b', 'hall-c'].map((availabilityZone, i) => ({
	name: `sleep-logs-${i + 1}`, address: `10.1.0.${i + 1}:5432`, availabilityZone, connections: CONNECTIONS, slots: SLOTS,
}));

/** Creates and starts the group and its owners; there is no failover, since no server fails. */
export function createShareSystem(seed: number): ShareSystem {
	const schedule = createVirtualSchedule();
	const random = createSeededRandom(seed);
	const group: VersionedGroup = {version: 1, cfg: groupConfigSchema.parse({name: 'sleep-logs', endpoints: ENDPOINTS, owners: OWNERS})};
	const database = createDatabaseGroup({
		addresses: ENDPOINTS.map(({address}) => address),
		clock: schedule,
		random: createSeededRandom(seed + 1000),
		serverParameters: {connections: CONNECTIONS, slots: SLOTS, serviceMs: SERVICE_MS},
	});

	const owners = Array.from({length: OWNERS}, (_, i) => createGroupOwner({
		clock: schedule,
		random: createSeededRandom(seed + 2000 + i),
		endpoints: createInMemoryEndpoints(database.servers, {clock: schedule, latencyMs: ONE_WAY_MS, host: `entry-${i + 1}`}),
		getGroup: () => group,
		isEndpointLeaving: () => false,
		createAdmission: (endpoint, cfg) => createAdmission({
			endpoint: endpoint.name, slots: endpoint.slots, owners: cfg.owners, shares: cfg.classShares, clock: schedule,
		}),
		createFailover: context => createStatusPolling(context, schedule),
	}));
	for (const owner of owners) {
		void owner.start();
	}

	return {
		schedule,
		random,
		servers: database.servers as unknown as ShareSystem['servers'],
		owners,
		getServerOrThrow: endpoint => database.getServerOrThrow(ENDPOINTS.find(({name}) => name === endpoint)!.address),
		stop() {
			database.stop();
		},
	};
}

/** Creates the part of failover that polls the endpoints' status, with the default settings; it never replaces the primary. */
function createStatusPolling(context: GroupFailoverContext, clock: Clock): GroupFailover {
	const settings = DEFAULT_FAILOVER_SETTINGS;
	const stopping = new AbortController();
	const control = createGroupControl({clock, context});
	const replicas = createReplicaWatch({
		clock,
		control,
		knowledge: context.knowledge,
		settings,
		getCfg: () => context.getGroup().cfg,
		getPollTimes: () => getPollTimes(settings, {rank: 0, idleMs: context.getIdleMs?.(clock.now())}),
		stopped: stopping.signal,
		onCutOff: ignore,
	});

	const pollPrimary = async () => {
		const primary = context.knowledge.getPrimary();
		const known = primary && context.knowledge.get(primary.name);
		if (known && clock.now() - known.seenAt >= settings.primaryPollMs) {
			await control.status(primary.name, settings.probeMs).catch(() => undefined);
		}

		await clock.sleep(settings.primaryPollMs, stopping.signal);
	};

	const run = async (step: () => Promise<void>) => {
		while (!stopping.signal.aborted) {
			await step();
		}
	};

	return {
		async start() {
			void run(pollPrimary);
			void run(async () => replicas.poll());
		},
		async stop() {
			stopping.abort();
		},
		suspect() {
			// No server is promoted in this experiment.
		},
		async switchTo() {
			// No server is promoted in this experiment.
		},
	};
}

function ignore() {
	// The primary never fails in this experiment.
}
