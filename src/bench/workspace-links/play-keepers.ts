import {createEndpointPool} from '../../links/create-endpoint-pool.js';
import type {EndpointPool} from '../../links/endpoint-pool.js';
import {createSilentLog} from '../../log/silent-log.js';
import {getWeight, hashName} from '../../membership/rendezvous.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import {createVirtualClock} from '../../stand-ins/time/virtual-clock.js';
import {createBusyEndpoint} from './busy-endpoint.js';

/** How an endpoint's connections are spread, and what its callers ask for. */
export type KeepersPlay = {
	/** Hosts that keep connections in each zone. */
	readonly keepersPerZone: number;
	readonly zones: number;
	/** Whether a workspace's statements meet at one of its zone's hosts; else they go to each by turns. */
	readonly byWorkspace: boolean;
	readonly workspaces: number;
	/** Exponent of the workspaces' sizes. */
	readonly skew: number;
	readonly statementsPerSecond: number;
	/** The endpoint works so many times as long for the first seconds. */
	readonly slowFactor?: number;
	readonly seed: number;
};

/** What came out. */
export type KeepersFigures = {
	readonly openedPerStatement: number;
	readonly overCapPerStatement: number;
	/** Statements that were not answered in their time, as a share. */
	readonly failed: number;
	/** The same of those that came once the endpoint had been back to its speed for a while. */
	readonly failedLater: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
};

const PLAY_MS = 20_000;

/** The endpoint is slow until then, and some time later it should have recovered. */
const SLOW_MS = 5000;
const RECOVERED_MS = 8000;

const STATEMENT_TIMEOUT_MS = 800;
const MEAN_WORK_MS = 14;
const TRANSACTION_SHARE = 0.13;
const TRANSACTION_REST_MS = 300;
const BUSY_PAUSE_MS = 20;

/** Plays one busy endpoint. */
export async function playKeepers({keepersPerZone, zones, byWorkspace, workspaces, skew, statementsPerSecond, slowFactor = 1, seed}: KeepersPlay): Promise<KeepersFigures> {
	const clock = createVirtualClock(undefined, {settleRounds: 1});
	const random = createSeededRandom(seed);
	const endpoint = createBusyEndpoint({
		clock, slots: 3, queue: 24, maxConnections: 46, openMs: 12, wayMs: 1,
	});
	const keepers = keepersPerZone * zones;
	const pools = Array.from({length: keepers}, () => createEndpointPool({
		target: {address: '10.1.0.9:8080', group: 'nights', endpointId: 'i-1'},
		opener: endpoint.opener,
		clock,
		log: createSilentLog(),
		getLimits: () => ({maxConnections: 46, hosts: keepers, isPoolHost: true}),
		getMinPosition: () => undefined,
	}));
	const sizes = Array.from({length: workspaces}, (_, i) => 1 / ((i + 1) ** skew));
	const total = sizes.reduce((sum, size) => sum + size, 0);
	const waits: number[] = [];
	let asked = 0;
	let failed = 0;
	let failedLater = 0;
	let askedLater = 0;
	const startedAt = clock.now();

	const draw = () => {
		let left = random.fraction() * total;
		return sizes.findIndex(size => {
			left -= size;
			return left <= 0;
		});
	};

	const choosePool = (workspace: string, turn: number): EndpointPool => {
		const zone = Math.floor(random.fraction() * zones);
		const near = pools.slice(zone * keepersPerZone, (zone + 1) * keepersPerZone);
		const hash = hashName(workspace);
		const ranked = near.map((pool, i) => ({pool, weight: getWeight(hash, hashName(`keeper ${zone} ${i}`))})).toSorted((left, right) => right.weight - left.weight);
		return byWorkspace ? ranked[0]!.pool : near[turn % near.length]!;
	};

	const run = async (pool: EndpointPool, workspace: string) => {
		const until = clock.now() + STATEMENT_TIMEOUT_MS;
		const askedAt = clock.now();
		askedLater += askedAt >= startedAt + RECOVERED_MS ? 1 : 0;
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
				waits.push(clock.now() - askedAt);
				if (isTransaction) {
					await clock.sleep(TRANSACTION_REST_MS);
				}

				pool.release(sessionLink);
				return;
			}

			pool.release(sessionLink);
			await clock.sleep(BUSY_PAUSE_MS);
		}

		failed++;
		failedLater += askedAt >= startedAt + RECOVERED_MS ? 1 : 0;
	};

	const endsAt = clock.now() + PLAY_MS;
	const keeping = setKeeping(pools, clock);
	while (clock.now() < endsAt) {
		const workspace = `w${draw()}`;
		void run(choosePool(workspace, asked), workspace);
		asked++;
		await clock.advance(-Math.log(1 - random.fraction()) * 1000 / statementsPerSecond);
	}

	keeping.stop();
	await clock.advance(2000);
	const sorted = waits.toSorted((left, right) => left - right);
	return {
		openedPerStatement: endpoint.opened / asked,
		overCapPerStatement: endpoint.overCap / asked,
		failed: failed / asked,
		failedLater: failedLater / Math.max(1, askedLater),
		p50Ms: sorted[Math.floor(sorted.length / 2)] ?? Number.NaN,
		p99Ms: sorted[Math.floor(sorted.length * 0.99)] ?? Number.NaN,
	};
}

const KEEP_EVERY_MS = 250;

/** Has idle connections looked after as a host does. */
function setKeeping(pools: readonly EndpointPool[], clock: ReturnType<typeof createVirtualClock>) {
	let stopped = false;
	void (async () => {
		while (!stopped) {
			await clock.sleep(KEEP_EVERY_MS);
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
