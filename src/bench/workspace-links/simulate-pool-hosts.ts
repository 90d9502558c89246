import {createEndpointPool} from '../../links/create-endpoint-pool.js';
import type {EndpointPool} from '../../links/endpoint-pool.js';
import {createSilentLog} from '../../log/silent-log.js';
import {getWeight, hashName} from '../../membership/rendezvous.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import {createVirtualClock} from '../../stand-ins/time/virtual-clock.js';
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
};

const RUN_MS = 20_000;

/** Time until which the endpoint is slow, and time from which it should have recovered, in milliseconds from the start. */
const SLOW_MS = 5000;
const RECOVERED_MS = 8000;

const STATEMENT_TIMEOUT_MS = 800;
const MEAN_WORK_MS = 14;
const TRANSACTION_SHARE = 0.13;
const TRANSACTION_HOLD_MS = 300;
const RETRY_DELAY_MS = 20;

/** Simulates one busy endpoint. */
export async function simulatePoolHosts({
	poolHostsPerZone, zones, byWorkspace, workspaces, skew, statementsPerSecond, slowFactor = 1, seed,
}: PoolHostsScenario): Promise<PoolHostsFigures> {
	const clock = createVirtualClock(undefined, {drainRounds: 1});
	const random = createSeededRandom(seed);
	const endpoint = createBusyEndpoint({
		clock, slots: 3, queue: 24, maxConnections: 46, openMs: 12, oneWayMs: 1,
	});
	const poolHosts = poolHostsPerZone * zones;
	const pools = Array.from({length: poolHosts}, () => createEndpointPool({
		target: {address: '10.1.0.9:8080', group: 'nights', endpointId: 'i-1'},
		opener: endpoint.opener,
		clock,
		log: createSilentLog(),
		getLimits: () => ({maxConnections: 46, hosts: poolHosts, isPoolHost: true}),
		getMinPosition: () => undefined,
	}));
	const sizes = Array.from({length: workspaces}, (_, i) => 1 / ((i + 1) ** skew));
	const total = sizes.reduce((sum, size) => sum + size, 0);
	const latencies: number[] = [];
	let sent = 0;
	let failed = 0;
	let failedLater = 0;
	let sentLater = 0;
	const startedAt = clock.now();

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
		const until = clock.now() + STATEMENT_TIMEOUT_MS;
		const sentAt = clock.now();
		sentLater += sentAt >= startedAt + RECOVERED_MS ? 1 : 0;
		const isTransaction = random.fraction() < TRANSACTION_SHARE;
		while (clock.now() < until) {
			const sessionLink = await pool.acquire({
				priority: 1, until, values: new Map(), single: !isTransaction, workspace,
			});
			if (!sessionLink) {
				break;
			}

			const factor = clock.now() < startedAt + SLOW_MS ? slowFactor : 1;
			const work = String(-Math.log(1 - random.fraction()) * MEAN_WORK_MS * factor);
			const {end} = await sessionLink.link.exchange({id: 's', command: {kind: 'run', text: work}});
			if (end.kind === 'complete') {
				latencies.push(clock.now() - sentAt);
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
		failedLater += sentAt >= startedAt + RECOVERED_MS ? 1 : 0;
	};

	const endsAt = clock.now() + RUN_MS;
	const maintenance = startMaintenance(pools, clock);
	while (clock.now() < endsAt) {
		const workspace = `w${drawWorkspace()}`;
		void run(choosePool(workspace, sent), workspace);
		sent++;
		await clock.advance(-Math.log(1 - random.fraction()) * 1000 / statementsPerSecond);
	}

	maintenance.stop();
	await clock.advance(2000);
	const sorted = latencies.toSorted((left, right) => left - right);
	return {
		openedPerStatement: endpoint.opened / sent,
		overCapPerStatement: endpoint.overCap / sent,
		failed: failed / sent,
		failedLater: failedLater / Math.max(1, sentLater),
		p50Ms: sorted[Math.floor(sorted.length / 2)] ?? Number.NaN,
		p99Ms: sorted[Math.floor(sorted.length * 0.99)] ?? Number.NaN,
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
