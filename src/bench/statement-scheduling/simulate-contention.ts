import {createEndpointPool} from '../../links/create-endpoint-pool.js';
import type {AcquireRequest, EndpointPool, QueueRefusal} from '../../links/endpoint-pool.js';
import type {WaiterOrder} from '../../links/waiter-order.js';
import {createSilentLog} from '../../log/silent-log.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import {createVirtualClock} from '../../stand-ins/time/virtual-clock.js';
import {createBusyEndpoint} from '../workspace-links/busy-endpoint.js';
import {
	CONTENDED_ROUTES, WORKSPACE_COUNT, type ContendedRoute, type LoadShape,
} from './contended-load.js';

/** One operation of a caller. Times in milliseconds. */
export type ContendedOutcome = {
	readonly route: ContendedRoute;
	readonly workspace: number;
	/** Time of the operation's first try, from the start. */
	readonly atMs: number;
	/** Time to the answer; undefined where there was none within the caller's deadline. */
	readonly tookMs?: number;
	/** Tries that were refused, each with the time from the try to the refusal. */
	readonly refusedAfterMs: readonly number[];
};

/** Figures of one run. */
export type ContentionFigures = {
	readonly outcomes: readonly ContendedOutcome[];
	readonly openedPerOperation: number;
	/** Statements and openings that the endpoint rejected. */
	readonly rejected: number;
};

/** A run of one endpoint's pool under contention. */
export type ContentionScenario = {
	readonly load: LoadShape;
	readonly seed: number;
	readonly durationMs: number;
	/** Statements in flight that the pool allows itself; Infinity leaves it to the congestion window. */
	readonly limit: number;
	createOrder(): WaiterOrder | undefined;
};

const SLOTS = 4;
const MAX_TRIES = 3;
const RETRY_DELAY_MS = 50;
const STATEMENTS_IN_TRANSACTION = 2;

/** Time between two statements of a transaction at its caller, in milliseconds. */
const CALLER_PAUSE_MS = 2;

/** Simulates callers of all routes and workspaces before one endpoint that has four slots. */
export async function simulateContention({load, seed, durationMs, limit, createOrder}: ContentionScenario): Promise<ContentionFigures> {
	const clock = createVirtualClock(0, {drainRounds: 1});
	const random = createSeededRandom(seed);
	const endpoint = createBusyEndpoint({
		clock, slots: SLOTS, queue: 32, maxConnections: 56, openMs: 12, oneWayMs: 0.5,
	});
	const pool = createEndpointPool({
		target: {address: '10.1.0.9:8080', group: 'stays', endpointId: 'i-1'},
		opener: endpoint.opener,
		clock,
		log: createSilentLog(),
		order: createOrder(),
		window: Number.isFinite(limit) ? {size: limit, noteServed() {}, noteRejected() {}} : undefined, // eslint-disable-line @typescript-eslint/no-empty-function
		getLimits: () => ({maxConnections: 56, hosts: 1, isPoolHost: true}),
		getMinPosition: () => undefined,
	});
	const sizes = Array.from({length: WORKSPACE_COUNT}, (_, i) => 1 / ((i + 1) ** 0.8));
	const outcomes: ContendedOutcome[] = [];

	const drawWorkspace = () => {
		const factors = sizes.map((size, i) => size * load.getWorkspaceFactor(i, clock.now()));
		let remaining = random.fraction() * factors.reduce((sum, factor) => sum + factor, 0);
		return Math.max(0, factors.findIndex(factor => {
			remaining -= factor;
			return remaining <= 0;
		}));
	};

	const drawWork = (meanMs: number) => String(meanMs * (random.fraction() < 0.03 ? 7 : 0.5 + random.fraction()));

	const outcomeOf = createRunner({clock, pool, drawWork});

	const operate = async (route: ContendedRoute) => {
		const workspace = drawWorkspace();
		const atMs = clock.now();
		const single = random.fraction() >= route.transactionShare;
		const read = single && random.fraction() >= route.writeShare;
		const refusedAfterMs: number[] = [];
		let tookMs: number | undefined;
		for (let tries = 0; tries < MAX_TRIES && tookMs === undefined && clock.now() < atMs + route.deadlineMs; tries++) {
			const triedAt = clock.now();
			const {done, retryAfterMs} = await outcomeOf(route, workspace, single, read);
			if (done) {
				tookMs = clock.now() - atMs;
			} else {
				refusedAfterMs.push(clock.now() - triedAt);
				await clock.sleep(retryAfterMs);
			}
		}

		outcomes.push({
			route, workspace, atMs, refusedAfterMs, tookMs: tookMs !== undefined && tookMs <= route.deadlineMs ? tookMs : undefined,
		});
	};

	const workspaceFactor = () => {
		let sum = 0;
		let base = 0;
		for (const [i, size] of sizes.entries()) {
			sum += size * load.getWorkspaceFactor(i, clock.now());
			base += size;
		}

		return sum / base;
	};

	while (clock.now() < durationMs) {
		const rates = CONTENDED_ROUTES.map(route => route.perSecond * load.getRouteFactor(route, clock.now()) * workspaceFactor());
		const total = rates.reduce((sum, rate) => sum + rate, 0);
		await clock.advance(-Math.log(1 - random.fraction()) * 1000 / total);
		let remaining = random.fraction() * total;
		const index = rates.findIndex(rate => {
			remaining -= rate;
			return remaining <= 0;
		});
		void operate(CONTENDED_ROUTES[Math.max(0, index)]!);
		pool.maintain();
	}

	await clock.advance(8000);
	return {outcomes, openedPerOperation: endpoint.opened / outcomes.length, rejected: endpoint.rejected};
}

function createRunner({clock, pool, drawWork}: {
	readonly clock: ReturnType<typeof createVirtualClock>;
	readonly pool: EndpointPool;
	drawWork(meanMs: number): string;
}) {
	return async (route: ContendedRoute, workspace: number, single: boolean, read: boolean) => {
		const now = clock.now();
		const statements = single ? 1 : STATEMENTS_IN_TRANSACTION;
		const expectedMs = statements * (route.workMs + CALLER_PAUSE_MS);
		let refusal: QueueRefusal | undefined;
		const request: AcquireRequest = {
			priority: route.level,
			until: now + route.queueMs,
			startBy: now + route.targetMs - expectedMs,
			values: new Map(),
			workspace: `w${workspace}`,
			weight: 1 / (1 + (workspace % 3)),
			single,
			read: read ? {} : undefined,
			onRefused(given) {
				refusal = given;
			},
		};
		const sessionLink = await pool.acquire(request);
		if (!sessionLink) {
			return {done: false, retryAfterMs: refusal?.retryAfterMs ?? RETRY_DELAY_MS};
		}

		let done = true;
		for (let i = 0; i < statements && done; i++) {
			const {end} = await sessionLink.link.exchange({id: 's', command: {kind: 'run', text: drawWork(route.workMs)}});
			done = end.kind === 'complete';
			if (!single) {
				await clock.sleep(CALLER_PAUSE_MS);
			}
		}

		pool.release(sessionLink);
		return {done, retryAfterMs: RETRY_DELAY_MS};
	};
}
