import {createSeededRandom} from '../../random/seeded-random.js';
import {createSimulatedProxies, type SimulatedProxiesOptions} from '../../stand-ins/proxies/simulated-proxies.js';
import {createVirtualClock} from '../../stand-ins/time/virtual-clock.js';
import type {ReadCandidate} from '../../placement/choose-endpoint.js';
import type {PlacementWay} from './placements.js';
import {createSiteCallers, type RequestOutcome} from './site-callers.js';
import type {RequestShape, SiteShape} from './site-shapes.js';
import type {SiteStretch} from './site-troubles.js';

/** What a day on a site came to. */
export type SitePlay = {
	readonly outcomes: readonly RequestOutcome[];
	/** When each stretch began. */
	readonly begunAt: ReadonlyArray<{readonly stretch: SiteStretch; readonly at: number}>;
	/** Reads placed, in the host's own zone among them, and at a replica. */
	readonly placed: {reads: number; near: number; replicas: number};
};

/** Hosts that have just registered replace nothing for 9 s. */
const WARM_UP_MS = 10_000;

/** Longest time until the last answer is there, in milliseconds. */
const TAIL_MS = 7000;

/** Within one zone a message takes this share of the way between zones. */
const NEAR_WAY = 0.2;

/** One statement in a hundred takes so many times the usual. */
const HEAVY_SHARE = 0.01;
const HEAVY_FACTOR = 5;

/** Plays a day on a site with one way of placing reads; the same seed brings the same requests. */
export async function playSite(site: SiteShape, day: readonly SiteStretch[], way: PlacementWay, seed: number): Promise<SitePlay> {
	const clock = createVirtualClock();
	const work = createSeededRandom(seed + 1);
	const placed = {reads: 0, near: 0, replicas: 0};
	const workOf = new Map(site.requests.map(({name, workMs}) => [name, workMs]));

	const getServiceMs = (text: string) => {
		const mean = workOf.get(text.split(' ')[1] ?? text) ?? 2;
		const heavy = work.fraction() < HEAVY_SHARE ? HEAVY_FACTOR : 1;
		return mean * (0.5 + work.fraction()) * heavy;
	};

	const getWayMs = (hostZone: string | undefined, serverZone: string) => hostZone === serverZone ? site.zoneWayMs * NEAR_WAY : site.zoneWayMs;

	const createPlacement: SimulatedProxiesOptions['createPlacement'] = () => {
		const placement = way.create(id => system.groups.flatMap(({servers}) => servers).find(server => server.id === id)!);
		return {
			choose(candidates: readonly ReadCandidate[]) {
				const chosen = placement.choose(candidates);
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
			getWayMs,
		})),
		routes: site.requests.flatMap(shape => Array.from({length: site.groups}, (_, group) => createRoute(shape, group))),
		createPlacement,
	});
	for (let i = 1; i <= site.hosts; i++) {
		await clock.runUntil(system.startProxy(`entry-${i}`));
	}

	await clock.advance(WARM_UP_MS);
	const callers = createSiteCallers(system, site, clock, createSeededRandom(seed));
	const begunAt: Array<{stretch: SiteStretch; at: number}> = [];
	for (const stretch of day) {
		begunAt.push({stretch, at: clock.now()});
		stretch.begin(system);
		callers.send(stretch.lengthMs, stretch.rate);
		await clock.advance(stretch.lengthMs);
		stretch.end(system);
	}

	await clock.advance(TAIL_MS);
	system.stop();
	return {outcomes: callers.outcomes, begunAt, placed};
}

function createRoute({name, policy, maxReadAgeMs, deadlineMs, aimMs, worth}: RequestShape, group: number) {
	return {
		name: `${name}-${group}`,
		database: `${name}-${group}`,
		group: `group-${group}`,
		policy,
		maxReadAgeMs,
		statementTimeoutMs: deadlineMs,
		targetLatencyMs: aimMs,
		priority: worth > 1 ? 1 : 2,
	};
}
