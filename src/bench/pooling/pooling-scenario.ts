import {CONTROL_CONNECTIONS, getPoolLimit} from '../../owners/connection-budget.js';
import {groupConfigSchema} from '../../groups/group-config.js';
import type {Random} from '../../random/random.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import {withinMs} from '../../time/deadline.js';
import {
	drawClass, drawGapMs, drawWorkMs, getCapacity, USERS_MIX,
} from '../overload/traffic.js';
import type {ModelRequest} from '../overload/request-model.js';
import {createVirtualSchedule, type VirtualSchedule} from '../virtual-schedule.js';
import {createPooledServer, type ServerFigures} from './pooled-server.js';
import {createProxyModel, type ProxyModel} from './proxy-model.js';

/** How a server's connections are shared: among a number of owners, or among all nine proxies. */
export type Sharing = {
	readonly name: string;
	readonly sharers: number;
};

/** Settings of a run with nine proxies in front of one server. */
export type PoolingScenario = {
	readonly seed: number;
	readonly sharing: Sharing;
	/** Returns the rate of fresh requests at a proxy, as a multiple of the server's capacity. */
	getLoad(proxy: number, at: number): number;
	/** When the first-ranked proxy crashes with its host. */
	readonly diesAt?: number;
};

/** Results of a run. */
export type PoolingOutcome = {
	readonly requests: readonly RequestOutcome[];
	readonly server: ServerFigures;
};

/** Outcome of one request. */
export type RequestOutcome = {
	readonly at: number;
	readonly done: boolean;
	/** Time until the statement was sent to the server, including the hop between proxies, in milliseconds. */
	readonly waitedMs: number;
};

export const PROXIES = 9;
export const SLOTS = 3;
export const CONNECTIONS = 20;
export const LENGTH_MS = 30_000;

/** Round trip of a hop between proxies, in milliseconds. */
const HOP_ROUND_TRIP_MS = 2;
/** Time after which a silent link is closed, in milliseconds: `DEFAULT_PEER_LIMITS.silentAfterMs`. */
const LINK_TIMEOUT_MS = 2500;
/** Times after which the load balancer sends a dead host's callers to other proxies, and the server drops its connections, in milliseconds. */
const BALANCER_TIMEOUT_MS = 3000;
const SERVER_TIMEOUT_MS = 10_000;
const IDLE_POLL_MS = 100;
const DRAIN_MS = 10_000;

/** Runs a scenario in virtual time. */
export async function runPoolingScenario(scenario: PoolingScenario): Promise<PoolingOutcome> {
	const schedule = createVirtualSchedule();
	const random = createSeededRandom(scenario.seed);
	const server = createPooledServer(schedule, SLOTS, CONNECTIONS - countReserved(scenario.sharing));
	const {sharers} = scenario.sharing;
	const proxies = Array.from({length: PROXIES}, (_, number) => createProxyModel({
		schedule, random, server, number, slots: SLOTS, sharers, poolLimit: getLimit(scenario.sharing),
	}));
	const requests: RequestOutcome[] = [];
	for (let entry = 0; entry < PROXIES; entry++) {
		void generateArrivals(entry, {
			scenario, schedule, random, proxies, requests,
		});
	}

	if (scenario.diesAt !== undefined) {
		schedule.at(scenario.diesAt, () => {
			proxies[0]!.die();
		});
		schedule.at(scenario.diesAt + SERVER_TIMEOUT_MS, () => {
			server.dropConnections(0);
		});
	}

	await schedule.runUntil(LENGTH_MS + DRAIN_MS);
	return {requests, server: server.figures};
}

type RunContext = {
	readonly scenario: PoolingScenario;
	readonly schedule: VirtualSchedule;
	readonly random: Random;
	readonly proxies: readonly ProxyModel[];
	readonly requests: RequestOutcome[];
};

async function generateArrivals(entry: number, run: RunContext) {
	const {scenario, schedule, random, proxies} = run;
	/** Owners that this entry found unresponsive. */
	const knownDead = new Set<number>();
	while (schedule.now() < LENGTH_MS) {
		const perSecond = scenario.getLoad(entry, schedule.now()) * getCapacity(USERS_MIX, SLOTS);
		await schedule.sleep(perSecond > 0 ? drawGapMs(perSecond, random) : IDLE_POLL_MS);
		const isBypassed = proxies[entry]!.dead && schedule.now() > scenario.diesAt! + BALANCER_TIMEOUT_MS;
		if (perSecond > 0 && !isBypassed) {
			void sendRequest(entry, knownDead, run);
		}
	}
}

async function sendRequest(entry: number, knownDead: Set<number>, run: RunContext) {
	const {schedule, random, requests, proxies} = run;
	const at = schedule.now();
	const workClass = drawClass(USERS_MIX, random);
	const {workMs, deadlineMs, isRead} = USERS_MIX[workClass];
	const req: ModelRequest = {
		class: workClass, workMs: drawWorkMs(workMs, random), deadlineAt: at + (deadlineMs * (0.5 + random.fraction())), isRead, replicationMs: 0,
	};
	const done = proxies[entry]!.dead ? undefined : await tryOwners(entry, knownDead, req, run);
	requests.push({at, done: done?.done ?? false, waitedMs: done?.waitedMs ?? 0});
}

/** Sends a request to an owner, and again while no owner responds and the deadline has not passed. Owners that are known to be dead are left out. */
async function tryOwners(entry: number, knownDead: Set<number>, req: ModelRequest, run: RunContext) {
	const {schedule, random, proxies, scenario} = run;
	const startedAt = schedule.now();
	for (;;) {
		const owners = getOwners(scenario.sharing, knownDead);
		const number = scenario.sharing.sharers === PROXIES || owners.includes(entry) ? entry : owners[Math.floor(random.fraction() * owners.length)]!;
		const hopMs = number === entry ? 0 : HOP_ROUND_TRIP_MS;
		const sentAt = schedule.now();
		await schedule.sleep(hopMs / 2);
		const bounded = await withinMs(schedule, Math.min(LINK_TIMEOUT_MS, req.deadlineAt - schedule.now()), proxies[number]!.execute(req));
		if (!bounded.timedOut) {
			return {...bounded.value, waitedMs: bounded.value.waitedMs + (sentAt - startedAt) + hopMs};
		}

		if (schedule.now() - sentAt >= LINK_TIMEOUT_MS || (proxies[number]!.dead && schedule.now() >= scenario.diesAt! + LINK_TIMEOUT_MS)) {
			knownDead.add(number);
		}

		if (schedule.now() >= req.deadlineAt) {
			return undefined;
		}
	}
}

/** Returns the owners: the first proxies by number that are not known to be dead. */
function getOwners({sharers}: Sharing, knownDead: ReadonlySet<number>): number[] {
	return Array.from({length: PROXIES}, (_, number) => number).filter(number => !knownDead.has(number)).slice(0, sharers);
}

/** Returns the number of connections that each sharer may open. The comparison favours a direct split, which is charged for no control connections and no reserve. */
function getLimit({sharers}: Sharing): number {
	if (sharers === PROXIES) {
		return Math.floor(CONNECTIONS / PROXIES);
	}

	const cfg = groupConfigSchema.parse({
		name: 'nights', owners: sharers, endpoints: [{
			name: 'server', address: '10.0.0.1:5432', availabilityZone: 'hall-a', connections: CONNECTIONS, slots: SLOTS,
		}],
	});
	return getPoolLimit(cfg, cfg.endpoints[0]!);
}

function countReserved({sharers}: Sharing): number {
	return sharers === PROXIES ? 0 : sharers * CONTROL_CONNECTIONS;
}
