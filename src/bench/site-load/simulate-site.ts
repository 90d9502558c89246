import type {Log} from '../../log/log.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import {createSimulatedProxies, type SimulatedProxiesOptions} from '../../stand-ins/proxies/simulated-proxies.js';
import {createVirtualClock} from '../../stand-ins/time/virtual-clock.js';
import type {ReadCandidate} from '../../placement/choose-endpoint.js';
import type {ReadTimeLeft} from '../../placement/read-placement.js';
import type {PlacementPolicy} from './placements.js';
import {createSiteCallers, type RequestOutcome} from './site-callers.js';
import type {RequestShape, SiteShape} from './site-shapes.js';
import type {SitePhase} from './site-phases.js';

/** Results of a simulated day at a site. */
export type SiteRun = {
	readonly outcomes: readonly RequestOutcome[];
	/** When each phase began. */
	readonly begunAt: ReadonlyArray<{readonly phase: SitePhase; readonly at: number}>;
	/** Numbers of reads placed in all, in the host's own zone and at a replica. */
	readonly placed: {reads: number; near: number; replicas: number};
};

/** Time before the first request, in milliseconds: hosts that have just registered replace no primary for 9 s. */
const WARM_UP_MS = 10_000;

/** Time after the day in which the last requests complete, in milliseconds. */
const DRAIN_MS = 7000;

/** One-way latency within a zone, as a part of that between zones. */
const SAME_ZONE_LATENCY_PART = 0.2;

/** One statement in a hundred takes five times the usual time. */
const SLOW_STATEMENT_SHARE = 0.01;
const SLOW_STATEMENT_FACTOR = 5;

/** Simulates a day at a site with one policy for placing reads; the same seed yields the same requests. */
export async function simulateSite(site: SiteShape, day: readonly SitePhase[], policy: PlacementPolicy, seed: number, log?: Log): Promise<SiteRun> {
	const clock = createVirtualClock();
	const workRandom = createSeededRandom(seed + 1);
	const placed = {reads: 0, near: 0, replicas: 0};
	const meanWorkMs = new Map(site.requests.map(({name, workMs}) => [name, workMs]));

	const getServiceMs = (text: string) => {
		const mean = meanWorkMs.get(text.split(' ')[1] ?? text) ?? 2;
		const factor = workRandom.fraction() < SLOW_STATEMENT_SHARE ? SLOW_STATEMENT_FACTOR : 1;
		return mean * (0.5 + workRandom.fraction()) * factor;
	};

	const getOneWayMs = (hostZone: string | undefined, serverZone: string) => hostZone === serverZone ? site.crossZoneOneWayMs * SAME_ZONE_LATENCY_PART : site.crossZoneOneWayMs;

	const placementRandom = createSeededRandom(seed + 2);
	const createPlacement: SimulatedProxiesOptions['createPlacement'] = () => {
		const placement = policy.create(id => system.groups.flatMap(({servers}) => servers).find(server => server.id === id)!, placementRandom);
		return {
			choose(candidates: readonly ReadCandidate[], timeLeft?: ReadTimeLeft) {
				const chosen = placement.choose(candidates, timeLeft);
				placed.reads += chosen ? 1 : 0;
				placed.near += chosen?.sameZone ? 1 : 0;
				placed.replicas += chosen && !chosen.isPrimary ? 1 : 0;
				return chosen;
			},
		};
	};

	const system = createSimulatedProxies({
		clock,
		seed,
		zoneCount: site.zones,
		groups: Array.from({length: site.groups}, (_, group) => ({
			name: `group-${group}`,
			zones: Array.from({length: site.servers}, (__, server) => `zone-${(group + server) % site.zones}`),
			lagMs: site.lagMs,
			promoteMs: site.promoteMs,
			slots: site.slots,
			maxConnections: site.connections,
			replicateMs: 10,
			observer: {onRead() {}, onCommit() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
			getServiceMs,
			getWayMs: getOneWayMs,
		})),
		routes: site.requests.flatMap(shape => Array.from({length: site.groups}, (_, group) => createRoute(shape, group))),
		createPlacement,
		features: policy.features,
		log,
	});
	for (let i = 1; i <= site.hosts; i++) {
		await clock.runUntil(system.startProxy(`entry-${i}`));
	}

	await clock.advance(WARM_UP_MS);
	const callers = createSiteCallers(system, site, clock, createSeededRandom(seed));
	const begunAt: Array<{phase: SitePhase; at: number}> = [];
	for (const phase of day) {
		begunAt.push({phase, at: clock.now()});
		phase.begin(system);
		callers.send(phase.lengthMs, phase.rate);
		await clock.advance(phase.lengthMs);
		phase.end(system);
	}

	await clock.advance(DRAIN_MS);
	system.stop();
	return {outcomes: callers.outcomes, begunAt, placed};
}

function createRoute({name, policy, maxReadAgeMs, deadlineMs, targetLatencyMs: targetMs, value: fullValue, priority}: RequestShape, group: number) {
	return {
		name: `${name}-${group}`,
		database: `${name}-${group}`,
		group: `group-${group}`,
		policy,
		maxReadAgeMs,
		statementTimeoutMs: deadlineMs,
		targetLatencyMs: targetMs,
		priority: priority ?? (fullValue > 1 ? 1 : 2),
	};
}
