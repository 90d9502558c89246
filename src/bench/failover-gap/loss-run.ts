import type {Promotion} from '../../failover/failover-parts.js';
import type {FailoverHooks} from '../../failover/failover-hooks.js';
import {Outcome} from '../../callers/caller-response.js';
import {createSimulatedSystem, type SimulatedSystem, type SimulatedSystemOptions} from '../../stand-ins/system/simulated-system.js';
import {
	checkFilings, getLongestFiling, getLongestGap, GROUP, startFilings, type FilingStream,
} from './filings.js';
import {
	healAll, PLATFORM_STATES, type LossScenario, type LossTargets, type PlatformState,
} from './losses.js';

/** A variant of failover that is measured: the product's, or a baseline. */
export type GapPolicy = {
	readonly name: string;
	readonly hooks?: FailoverHooks;
	readonly wrapPeers?: SimulatedSystemOptions['wrapPeers'];
};

/** Figures of one run. */
export type LossFigures = {
	/** Longest time without an acknowledgement, in milliseconds. */
	readonly gapMs: number;
	/** Longest response time of a filing, in milliseconds. */
	readonly longestMs: number;
	/** Filings with a response other than `done`. */
	readonly failed: number;
	readonly promotions: number;
	/** Durations of the gap's parts, in milliseconds; undefined if no unplanned promotion took place. */
	readonly parts?: Readonly<Record<GapPart, number>>;
};

/** The parts of a gap in chronological order. */
export const GAP_PARTS = ['detect', 'claim', 'fence', 'promote', 'learn', 'first filing'] as const;

/** One of {@link GAP_PARTS}. */
export type GapPart = typeof GAP_PARTS[number];

/** A system with a stream of filings, and the promotions so far with their times. */
export type Testbed = LossTargets & {
	readonly promotions: ReadonlyArray<Promotion & {readonly at: number}>;
};

const ZONES = ['lozenets', 'mladost', 'druzhba'];
const PROXIES = 9;
const WARM_UP_MS = 1500;
/** Duration of a loss, in milliseconds; a gap that lasts longer is counted up to the end of the loss. */
export const LOSS_MS = 6000;
const RECOVERY_MS = 8000;

/** Starts nine proxies, one group of three servers and the stream of filings. */
export async function startTestbed(seed: number, policy: GapPolicy): Promise<Testbed> {
	const promotions: Array<Promotion & {at: number}> = [];
	const system: SimulatedSystem = createSimulatedSystem({
		proxies: PROXIES,
		availabilityZones: ZONES,
		groups: [{name: GROUP, availabilityZones: ZONES, serverParameters: {connections: 35, slots: 2}}],
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

/** Stops the stream, waits for the system to recover, checks every filing and stops the system. */
export async function stopTestbed({system, stream}: {readonly system: SimulatedSystem; readonly stream: FilingStream}): Promise<void> {
	await system.clock.runUntil(stream.end());
	await system.clock.advance(RECOVERY_MS);
	checkFilings(system, stream.filings);
	await system.stop();
}

/** Runs one loss of the primary and returns its figures. */
export async function runLoss(seed: number, policy: GapPolicy, loss: LossScenario, platform: PlatformState): Promise<LossFigures> {
	const testbed = await startTestbed(seed, policy);
	const {system, stream, promotions} = testbed;
	PLATFORM_STATES[platform](system);
	// Varies the phase of the polls at which the loss happens.
	await system.clock.advance(WARM_UP_MS + ((seed * 137) % 500));
	const lostAt = system.clock.now();
	await loss.apply(testbed);
	await system.clock.advance(LOSS_MS);
	const endedAt = system.clock.now();
	healAll(testbed);
	const promotion = promotions.find(({cause}) => cause !== 'planned');
	const count = promotions.length;
	await stopTestbed(testbed);

	const gap = getLongestGap(stream.filings, lostAt, endedAt);
	return {
		gapMs: gap.ms,
		longestMs: getLongestFiling(stream.filings),
		failed: countFailed(stream),
		promotions: count,
		parts: promotion && getParts(promotion, lostAt, gap.endedAt),
	};
}

/** Counts the filings with a response other than `done`. */
export function countFailed({filings}: FilingStream): number {
	return filings.filter(({answer: response}) => response !== undefined && response.outcome !== Outcome.Done).length;
}

function getParts({stepDurations, at}: Testbed['promotions'][number], lostAt: number, firstAt: number): Record<GapPart, number> {
	const {claimMs, fenceMs, promoteMs, learnMs} = stepDurations;
	return {
		detect: at - lostAt - claimMs - fenceMs - promoteMs - learnMs,
		claim: claimMs,
		fence: fenceMs,
		promote: promoteMs,
		learn: learnMs,
		'first filing': firstAt - at,
	};
}
