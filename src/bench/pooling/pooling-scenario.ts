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

/** A way to share a server's connections: that many owners, or all nine proxies. */
export type Sharing = {
	readonly name: string;
	readonly sharers: number;
};

/** Nine proxies before one server. */
export type PoolingScenario = {
	readonly seed: number;
	readonly sharing: Sharing;
	/** Fresh requests as a multiple of what the server can do, at one proxy. */
	getLoad(proxy: number, at: number): number;
	/** When the first-ranked proxy dies with its host. */
	readonly diesAt?: number;
};

/** What became of the requests. */
export type PoolingOutcome = {
	readonly requests: readonly RequestOutcome[];
	readonly server: ServerFigures;
};

/** What became of one request. */
export type RequestOutcome = {
	readonly at: number;
	readonly done: boolean;
	/** Time before the statement was sent to the server, hop included, in milliseconds. */
	readonly waitedMs: number;
};

export const PROXIES = 9;
export const SLOTS = 3;
export const CONNECTIONS = 20;
export const LENGTH_MS = 30_000;

/** A hop between proxies, there and back, in milliseconds. */
const HOP_MS = 2;
/** After that long a silent link is given up: `DEFAULT_PEER_LIMITS.silentAfterMs`. */
const LINK_SILENT_MS = 2500;
/** After that long the balancer sends callers elsewhere, and the server drops a dead host's connections. */
const BALANCER_MS = 3000;
const SERVER_KEEPS_MS = 10_000;
const IDLE_STEP_MS = 100;
const TAIL_MS = 10_000;

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
		void arrive(entry, {
			scenario, schedule, random, proxies, requests,
		});
	}

	if (scenario.diesAt !== undefined) {
		schedule.at(scenario.diesAt, () => {
			proxies[0]!.die();
		});
		schedule.at(scenario.diesAt + SERVER_KEEPS_MS, () => {
			server.dropConnections(0);
		});
	}

	await schedule.runUntil(LENGTH_MS + TAIL_MS);
	return {requests, server: server.figures};
}

type Run = {
	readonly scenario: PoolingScenario;
	readonly schedule: VirtualSchedule;
	readonly random: Random;
	readonly proxies: readonly ProxyModel[];
	readonly requests: RequestOutcome[];
};

async function arrive(entry: number, run: Run) {
	const {scenario, schedule, random, proxies} = run;
	/** Owners that this entry found dead. */
	const known = new Set<number>();
	while (schedule.now() < LENGTH_MS) {
		const perSecond = scenario.getLoad(entry, schedule.now()) * getCapacity(USERS_MIX, SLOTS);
		await schedule.sleep(perSecond > 0 ? drawGapMs(perSecond, random) : IDLE_STEP_MS);
		const isGone = proxies[entry]!.dead && schedule.now() > scenario.diesAt! + BALANCER_MS;
		if (perSecond > 0 && !isGone) {
			void request(entry, known, run);
		}
	}
}

async function request(entry: number, known: Set<number>, run: Run) {
	const {schedule, random, requests, proxies} = run;
	const at = schedule.now();
	const workClass = drawClass(USERS_MIX, random);
	const {workMs, deadlineMs, isRead} = USERS_MIX[workClass];
	const req: ModelRequest = {
		class: workClass, workMs: drawWorkMs(workMs, random), deadlineAt: at + (deadlineMs * (0.5 + random.fraction())), isRead, replicationMs: 0,
	};
	const done = proxies[entry]!.dead ? undefined : await tryOwners(entry, known, req, run);
	requests.push({at, done: done?.done ?? false, waitedMs: done?.waitedMs ?? 0});
}

/** Asks one owner, and the others while it is found dead and time is left. */
async function tryOwners(entry: number, known: Set<number>, req: ModelRequest, run: Run) {
	const {schedule, random, proxies, scenario} = run;
	const startedAt = schedule.now();
	for (;;) {
		const owners = getOwners(scenario.sharing, known);
		const number = scenario.sharing.sharers === PROXIES || owners.includes(entry) ? entry : owners[Math.floor(random.fraction() * owners.length)]!;
		const hopMs = number === entry ? 0 : HOP_MS;
		const askedAt = schedule.now();
		await schedule.sleep(hopMs / 2);
		const bounded = await withinMs(schedule, Math.min(LINK_SILENT_MS, req.deadlineAt - schedule.now()), proxies[number]!.execute(req));
		if (!bounded.timedOut) {
			return {...bounded.value, waitedMs: bounded.value.waitedMs + (askedAt - startedAt) + hopMs};
		}

		if (schedule.now() - askedAt >= LINK_SILENT_MS || (proxies[number]!.dead && schedule.now() >= scenario.diesAt! + LINK_SILENT_MS)) {
			known.add(number);
		}

		if (schedule.now() >= req.deadlineAt) {
			return undefined;
		}
	}
}

/** The first usable proxies; the rank is the number. */
function getOwners({sharers}: Sharing, known: ReadonlySet<number>): number[] {
	return Array.from({length: PROXIES}, (_, number) => number).filter(number => !known.has(number)).slice(0, sharers);
}

/** Connections each sharer may open; a direct split is favoured: it pays for no control connections and no reserve. */
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
