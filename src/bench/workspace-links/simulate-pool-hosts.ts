import {createEndpointPool} from '../../links/create-endpoint-pool.js';
import type {CongestionWindow} from '../../links/congestion-window.js';
import type {ConnectionPolicy} from '../../links/connection-policy.js';
import type {EndpointPool} from '../../links/endpoint-pool.js';
import {createSilentLog} from '../../log/silent-log.js';
import {getWeight, hashName} from '../../membership/rendezvous.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import type {Clock} from '../../time/clock.js';
import {createVirtualClock} from '../../stand-ins/time/virtual-clock.js';
import {getPercentile} from '../statistics.js';
import {createBusyEndpoint} from './busy-endpoint.js';

/** How an endpoint's connections are distributed over hosts, and the load of its callers. */
export type PoolHostsScenario = {
	/** Number of pool hosts in each zone. */
	readonly poolHostsPerZone: number;
	readonly zones: number;
	/** Whether a zone's statements of one workspace all go to the same pool host; else they go to each of the zone's pool hosts by turns. */
	readonly byWorkspace: boolean;
	readonly workspaces: number;
	/** Exponent of the Zipf distribution of the workspaces' loads. */
	readonly skew: number;
	readonly statementsPerSecond: number;
	/** Factor of the execution times in the first seconds, while the endpoint is slow. */
	readonly slowFactor?: number;
	readonly seed: number;
	/** Limits of the endpoint; by default those of the first users' busiest one. */
	readonly endpoint?: {readonly slots: number; readonly queue: number; readonly maxConnections: number};
	/** Routes of the statements; by default there is one, with execution times of 14 ms on average. */
	readonly routes?: readonly SimulatedRoute[];
	/** Number of statements and openings in flight at the endpoint over all pool hosts; each pool host has a window of its own where it is undefined. */
	readonly room?: number;
	/** Length of the run in milliseconds; default 20,000. */
	readonly runMs?: number;
	/** Time from the start at which the first pool host loses power and another one takes its place, in milliseconds; the endpoint keeps its connections for 3 s. */
	readonly lossAtMs?: number;
	/** Creates the connection policy of a pool host; the pool's default where it is undefined. */
	createPolicy?(): ConnectionPolicy;
};

/** A kind of statements. */
export type SimulatedRoute = {
	/** Share of all statements. */
	readonly share: number;
	readonly meanWorkMs: number;
	/** Share of the route's statements that begin a transaction, which holds its connection for a while. */
	readonly transactionShare: number;
	readonly timeoutMs: number;
	/** 0 is the highest priority. */
	readonly priority: number;
};

/** Figures of one run. */
export type PoolHostsFigures = {
	readonly openedPerStatement: number;
	readonly overCapPerStatement: number;
	/** Share of the statements that were not answered within their timeout. */
	readonly failed: number;
	/** The same share of the statements sent once the endpoint had been at normal speed for a while. */
	readonly failedLater: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	/** Share of the statements that were not answered within their timeout, of those sent to the successor of a lost pool host in its first 3 s. */
	readonly failedAfterLoss: number;
	/** Greatest p99 of a workspace with at least 100 statements divided by that of the median one; a statement that failed counts with its timeout. */
	readonly p99Spread: number;
	/** The p99 over all workspaces with fewer statements. */
	readonly rareP99Ms: number;
};

const RUN_MS = 20_000;

/** Time until which the endpoint is slow, and time from which it should have recovered, in milliseconds from the start. */
const SLOW_MS = 5000;
const RECOVERED_MS = 8000;

/** Number of statements from which a workspace's p99 is a figure of its own. */
const MIN_SAMPLES = 100;

const ROUTE: SimulatedRoute = {
	share: 1, meanWorkMs: 14, transactionShare: 0.13, timeoutMs: 800, priority: 1,
};
const TRANSACTION_HOLD_MS = 300;
const RETRY_DELAY_MS = 20;

/** Time for which the endpoint keeps the connections of a host that lost power, in milliseconds. */
const LOST_KEPT_MS = 3000;

/** Simulates one busy endpoint. */
export async function simulatePoolHosts({
	poolHostsPerZone, zones, byWorkspace, workspaces, skew, statementsPerSecond, slowFactor = 1, seed, routes = [ROUTE], room, runMs = RUN_MS, lossAtMs, createPolicy,
	endpoint: limits = {slots: 3, queue: 24, maxConnections: 46},
}: PoolHostsScenario): Promise<PoolHostsFigures> {
	const clock = createVirtualClock(undefined, {drainRounds: 1});
	const random = createSeededRandom(seed);
	const endpoint = createBusyEndpoint({
		...limits, clock, openMs: 12, oneWayMs: 1,
	});
	const poolHosts = poolHostsPerZone * zones;
	const pools: EndpointPool[] = [];
	const createWindow = room === undefined ? undefined : createSharedWindows(room, pools, clock);
	const createPool = (i: number) => createEndpointPool({
		target: {address: '10.1.0.9:8080', group: 'nights', endpointId: 'i-1'},
		opener: endpoint.opener,
		clock,
		log: createSilentLog(),
		getLimits: () => ({maxConnections: limits.maxConnections, hosts: poolHosts, isPoolHost: true}),
		connections: createPolicy?.(),
		window: createWindow?.(i),
		getMinPosition: () => undefined,
	});
	pools.push(...Array.from({length: poolHosts}, (_, i) => createPool(i)));
	const sizes = Array.from({length: workspaces}, (_, i) => 1 / ((i + 1) ** skew));
	const total = sizes.reduce((sum, size) => sum + size, 0);
	const latencies: number[] = [];
	const byName = new Map<string, number[]>();
	let sent = 0;
	let failed = 0;
	let failedLater = 0;
	let sentLater = 0;
	let sentAfterLoss = 0;
	let failedAfterLoss = 0;
	const startedAt = clock.now();

	const drawRoute = () => {
		let remaining = routes.length === 1 ? 0 : random.fraction();
		return routes.find(({share}) => {
			remaining -= share;
			return remaining <= 0;
		}) ?? routes[0]!;
	};

	const noteTime = (workspace: string, ms: number) => {
		byName.set(workspace, [...byName.get(workspace) ?? [], ms]);
	};

	const drawWorkspace = () => {
		let remaining = random.fraction() * total;
		return sizes.findIndex(size => {
			remaining -= size;
			return remaining <= 0;
		});
	};

	const choosePool = (workspace: string, turn: number): EndpointPool => {
		const zone = Math.floor(random.fraction() * zones);
		const zonePools = pools.slice(zone * poolHostsPerZone, (zone + 1) * poolHostsPerZone);
		const hash = hashName(workspace);
		const ranked = zonePools.map((pool, i) => ({pool, weight: getWeight(hash, hashName(`keeper ${zone} ${i}`))})).toSorted((left, right) => right.weight - left.weight);
		return byWorkspace ? ranked[0]!.pool : zonePools[turn % zonePools.length]!;
	};

	const run = async (pool: EndpointPool, workspace: string) => {
		const {meanWorkMs, transactionShare, timeoutMs, priority} = drawRoute();
		const until = clock.now() + timeoutMs;
		const sentAt = clock.now();
		const isAfterLoss = pool === pools[0] && lossAtMs !== undefined && sentAt >= startedAt + lossAtMs && sentAt < startedAt + lossAtMs + LOST_KEPT_MS;
		sentAfterLoss += isAfterLoss ? 1 : 0;
		sentLater += sentAt >= startedAt + RECOVERED_MS ? 1 : 0;
		const isTransaction = random.fraction() < transactionShare;
		while (clock.now() < until) {
			const sessionLink = await pool.acquire({
				priority, until, values: new Map(), single: !isTransaction, workspace,
			});
			if (!sessionLink) {
				break;
			}

			const factor = clock.now() < startedAt + SLOW_MS ? slowFactor : 1;
			const work = String(-Math.log(1 - random.fraction()) * meanWorkMs * factor);
			const {end} = await sessionLink.link.exchange({id: 's', command: {kind: 'run', text: work}});
			if (end.kind === 'complete') {
				latencies.push(clock.now() - sentAt);
				noteTime(workspace, clock.now() - sentAt);
				if (isTransaction) {
					await clock.sleep(TRANSACTION_HOLD_MS);
				}

				pool.release(sessionLink);
				return;
			}

			pool.release(sessionLink);
			await clock.sleep(RETRY_DELAY_MS);
		}

		failed++;
		failedAfterLoss += isAfterLoss ? 1 : 0;
		noteTime(workspace, timeoutMs);
		failedLater += sentAt >= startedAt + RECOVERED_MS ? 1 : 0;
	};

	if (lossAtMs !== undefined) {
		void clock.sleep(lossAtMs).then(async () => {
			const [lost] = pools;
			pools[0] = createPool(0);
			await clock.sleep(LOST_KEPT_MS);
			lost!.retire();
		});
	}

	const endsAt = clock.now() + runMs;
	const maintenance = startMaintenance(pools, clock);
	while (clock.now() < endsAt) {
		const workspace = `w${drawWorkspace()}`;
		void run(choosePool(workspace, sent), workspace);
		sent++;
		await clock.advance(-Math.log(1 - random.fraction()) * 1000 / statementsPerSecond);
	}

	maintenance.stop();
	await clock.advance(2000);
	const p99s = [...byName.values()].filter(({length}) => length >= MIN_SAMPLES).map(times => getPercentile(times, 0.99));
	const sorted = latencies.toSorted((left, right) => left - right);
	return {
		openedPerStatement: endpoint.opened / sent,
		overCapPerStatement: endpoint.overCap / sent,
		failed: failed / sent,
		failedAfterLoss: failedAfterLoss / Math.max(1, sentAfterLoss),
		failedLater: failedLater / Math.max(1, sentLater),
		p50Ms: sorted[Math.floor(sorted.length / 2)] ?? Number.NaN,
		p99Ms: sorted[Math.floor(sorted.length * 0.99)] ?? Number.NaN,
		p99Spread: Math.max(...p99s) / getPercentile(p99s, 0.5),
		rareP99Ms: getPercentile([...byName.values()].filter(({length}) => length < MIN_SAMPLES).flat(), 0.99),
	};
}

const MAINTENANCE_INTERVAL_MS = 250;

/** Starts the periodic maintenance of the pools, which a host runs too. */
function startMaintenance(pools: readonly EndpointPool[], clock: ReturnType<typeof createVirtualClock>) {
	let stopped = false;
	void (async () => {
		while (!stopped) {
			await clock.sleep(MAINTENANCE_INTERVAL_MS);
			for (const pool of pools) {
				pool.maintain();
			}
		}
	})();

	return {
		stop() {
			stopped = true;
		},
	};
}

/** Creates a function that creates the window of each pool host, which leaves it what the others do not use of the endpoint's room, as if each knew at once what they send. */
function createSharedWindows(room: number, pools: readonly EndpointPool[], clock: Clock) {
	/** Whether a window is being computed: the load of a pool reads its window too. */
	let isComputing = false;

	return (own: number): CongestionWindow => ({
		get size() {
			if (isComputing) {
				return room;
			}

			isComputing = true;
			let left = room;
			for (const [at, pool] of pools.entries()) {
				left -= at === own ? 0 : pool.getLoad(clock.now()).inFlight;
			}

			isComputing = false;
			return Math.max(1, left);
		},
		noteServed() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		noteRejected() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	});
}
