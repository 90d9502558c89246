import type {Promotion} from '../../failover/failover-parts.js';
import type {FailoverHooks} from '../../failover/failover-hooks.js';
import {Outcome} from '../../callers/caller-response.js';
import {createSimulatedSystem, type SimulatedSystem, type SimulatedSystemOptions} from '../../stand-ins/system/simulated-system.js';
import {
	checkFilings, getLongestFiling, getLongestGap, GROUP, startFilings, type FilingStream,
} from './filings.js';
import {
	healAll, PLATFORM_STATES, type LossPlan, type LossScene, type PlatformState,
} from './losses.js';

/** A way of doing it: the product, or what it is measured against. */
export type GapPolicy = {
	readonly name: string;
	readonly hooks?: FailoverHooks;
	readonly wrapPeers?: SimulatedSystemOptions['wrapPeers'];
};

/** What one loss cost. */
export type LossFigures = {
	/** Longest time without an acknowledgement, in milliseconds. */
	readonly gapMs: number;
	/** Longest time that a filing took, in milliseconds. */
	readonly longestMs: number;
	/** Filings that were not done. */
	readonly failed: number;
	readonly promotions: number;
	/** The parts of the gap; undefined where nothing was promoted. */
	readonly parts?: Readonly<Record<GapPart, number>>;
};

/** The parts of a gap in their order. */
export const GAP_PARTS = ['detect', 'claim', 'fence', 'promote', 'learn', 'first filing'] as const;

/** One of {@link GAP_PARTS}. */
export type GapPart = typeof GAP_PARTS[number];

/** A system with filings going in, and the promotions so far with their times. */
export type Stage = LossScene & {
	readonly promotions: ReadonlyArray<Promotion & {readonly at: number}>;
};

const ZONES = ['lozenets', 'mladost', 'druzhba'];
const PROXIES = 9;
const WARM_UP_MS = 1500;
/** How long a loss lasts; a gap that nobody ends lasts as long. */
export const LOSS_MS = 6000;
const RECOVERY_MS = 8000;

/** Starts the users' system with its stream of filings. */
export async function openStage(seed: number, policy: GapPolicy): Promise<Stage> {
	const promotions: Array<Promotion & {at: number}> = [];
	const system: SimulatedSystem = createSimulatedSystem({
		proxies: PROXIES,
		availabilityZones: ZONES,
		groups: [{name: GROUP, availabilityZones: ZONES, sizes: {connections: 35, slots: 2}}],
		seed,
		latencyMs: 1.5,
		wrapPeers: policy.wrapPeers,
		failoverHooks: {
			...policy.hooks,
			onPromoted(promotion) {
				promotions.push({...promotion, at: system.clock.now()});
			},
		},
	});
	await system.start();
	const [primary, ...replicas] = system.getGroupOrThrow(GROUP).servers;
	const [owner] = system.proxies[0]!.kernel.getOrThrow('owning').getOwners(GROUP, 2, system.clock.now());
	return {
		system, primary: primary!, replicas, owner: system.getProxyOrThrow(owner!.name), stream: startFilings(system), promotions,
	};
}

/** Ends the stream, checks every filing and ends the system. */
export async function closeStage({system, stream}: {readonly system: SimulatedSystem; readonly stream: FilingStream}): Promise<void> {
	await system.clock.runUntil(stream.end());
	await system.clock.advance(RECOVERY_MS);
	checkFilings(system, stream.filings);
	await system.stop();
}

/** Loses the primary once and tells what that cost. */
export async function runLoss(seed: number, policy: GapPolicy, loss: LossPlan, platform: PlatformState): Promise<LossFigures> {
	const stage = await openStage(seed, policy);
	const {system, stream, promotions} = stage;
	PLATFORM_STATES[platform](system);
	// Losses meet the polls at different phases.
	await system.clock.advance(WARM_UP_MS + ((seed * 137) % 500));
	const lostAt = system.clock.now();
	await loss.apply(stage);
	await system.clock.advance(LOSS_MS);
	const endedAt = system.clock.now();
	healAll(stage);
	const promotion = promotions.find(({cause}) => cause !== 'planned');
	const count = promotions.length;
	await closeStage(stage);

	const gap = getLongestGap(stream.filings, lostAt, endedAt);
	return {
		gapMs: gap.ms,
		longestMs: getLongestFiling(stream.filings),
		failed: countFailed(stream),
		promotions: count,
		parts: promotion && getParts(promotion, lostAt, gap.endedAt),
	};
}

/** Filings that were answered, and not with `done`. */
export function countFailed({filings}: FilingStream): number {
	return filings.filter(({answer}) => answer !== undefined && answer.outcome !== Outcome.Done).length;
}

function getParts({stepDurations: parts, at}: Stage['promotions'][number], lostAt: number, firstAt: number): Record<GapPart, number> {
	const {claimMs, fenceMs, promoteMs, learnMs} = parts;
	return {
		detect: at - lostAt - claimMs - fenceMs - promoteMs - learnMs,
		claim: claimMs,
		fence: fenceMs,
		promote: promoteMs,
		learn: learnMs,
		'first filing': firstAt - at,
	};
}
