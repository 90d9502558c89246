import type {
	Experiment, ExperimentOptions, ExperimentResult, Measure, Variant,
} from './experiment.js';
import {PRIMARY_LOSS_SCENARIOS, type PrimaryLossScenario} from './lead-changes/losses.js';
import {
	getLongestPause, startTestbed, PROXIES, WRITE_INTERVAL_MS, type PrimaryLossTestbed,
} from './lead-changes/testbed.js';
import {ONE_HOST_READS, LEASE_STRATEGIES, type LeaseStrategy} from './lead-changes/lease-strategies.js';
import {createMeasure} from './statistics.js';

/** Runs every scenario of a primary loss with each lease strategy, on a group without a binding fence, in virtual time. */
export const leadChanges: Experiment = {
	name: 'lead-changes',
	description: 'Time without an acknowledged write after a loss of the primary, its parts, calls to the store and outages, by ways of evidence',
	run,
};

/** Time for which the gap is measured after a loss, in milliseconds. */
const OBSERVATION_MS = 14_000;

const STEADY_STATE_MS = 30_000;

/** Duration of a store outage without a loss of the primary, in milliseconds: ordinary outages last 3 to 9 s. */
const OUTAGE_MS = 9000;

const PROMOTE_MS = 600;

/** Fields of the log line that reports a replacement; each is the duration of a step in milliseconds. */
const PARTS = ['markMs', 'revokeMs', 'chooseMs', 'promoteMs', 'settleMs'] as const;

type LossFigures = {
	readonly gapMs: number;
	readonly detectMs: number;
	readonly parts: Partial<Record<typeof PARTS[number], number>>;
	readonly orders: number;
};

async function run(options: ExperimentOptions): Promise<ExperimentResult> {
	const variants: Variant[] = [];
	for (const strategy of LEASE_STRATEGIES) {
		variants.push({name: strategy.name, measures: await measureStrategy(options, strategy)});
	}

	return {
		name: leadChanges.name,
		description: leadChanges.description,
		seeds: options.seeds,
		setting: {
			proxies: PROXIES, servers: 3, 'promotion (ms)': PROMOTE_MS, 'writes/s': 1000 / WRITE_INTERVAL_MS,
		},
		measures: variants[0]!.measures,
		baselines: variants.slice(1),
		plots: [],
	};
}

async function measureStrategy(options: ExperimentOptions, strategy: LeaseStrategy): Promise<readonly Measure[]> {
	const measures = [...await measureSteadyState(options, strategy)];
	for (const loss of PRIMARY_LOSS_SCENARIOS) {
		const figures: LossFigures[] = [];
		for (const seed of options.seeds) {
			figures.push(await runLoss(seed, strategy, loss));
		}

		options.report(`${strategy.name}: ${loss.name}: ${figures.map(each => describeGap(each)).join('; ')} ms`);
		measures.push(
			createMeasure(`${loss.name}: gap`, 'ms', figures.map(({gapMs}) => gapMs)),
			createMeasure(`${loss.name}: orders`, 'orders', figures.map(({orders}) => orders)),
		);
		if (strategy === ONE_HOST_READS) {
			measures.push(createMeasure(`${loss.name}: detection`, 'ms', figures.map(({detectMs}) => detectMs)));
			for (const part of PARTS) {
				measures.push(createMeasure(`${loss.name}: ${part}`, 'ms', figures.map(({parts}) => parts[part] ?? Number.NaN)));
			}
		}
	}

	return measures;
}

function describeGap({gapMs, detectMs, parts}: LossFigures): string {
	return `${Math.round(gapMs)} (${[Math.round(detectMs), ...PARTS.map(part => parts[part])].join(' ')})`;
}

async function runLoss(seed: number, strategy: LeaseStrategy, loss: PrimaryLossScenario): Promise<LossFigures> {
	const testbed = await startTestbed(seed, strategy, PROMOTE_MS);
	const {clock, lines, system, acknowledgedAt} = testbed;
	await loss.begin(testbed);
	const lostAt = clock.now();
	await clock.advance(OBSERVATION_MS);
	const gapMs = getLongestPause(acknowledgedAt, lostAt, clock.now());
	const started = lines.find(({at, sentence}) => at >= lostAt && sentence.includes('a primary is replaced'));
	const ended = lines.find(({at, sentence}) => at >= lostAt && sentence.includes('a group has a primary again'));
	const orders = system.orders.length;
	testbed.stop();
	return {
		gapMs, detectMs: started ? started.at - lostAt : Number.NaN, parts: ended?.fields ?? {}, orders,
	};
}

async function measureSteadyState({seeds, report}: ExperimentOptions, strategy: LeaseStrategy): Promise<readonly Measure[]> {
	const calls: number[] = [];
	const pauses: number[] = [];
	const failed: number[] = [];
	const orders: number[] = [];
	for (const seed of seeds) {
		const testbed = await startTestbed(seed, strategy, PROMOTE_MS);
		const callsBefore = testbed.system.store.calls;
		await testbed.clock.advance(STEADY_STATE_MS);
		calls.push((testbed.system.store.calls - callsBefore) * 1000 / STEADY_STATE_MS);
		const outage = await runOutage(testbed);
		pauses.push(outage.pauseMs);
		failed.push(outage.failed);
		orders.push(testbed.system.orders.length);
		testbed.stop();
	}

	report(`${strategy.name}: ${calls.map(each => each.toFixed(2)).join(' ')} calls/s; outage: ${pauses.join(' ')} ms, ${failed.join(' ')} failed`);
	return [
		createMeasure('calm: calls to the store', 'calls/s', calls),
		createMeasure('calm, the store down for 9 s: longest pause', 'ms', pauses),
		createMeasure('calm, the store down for 9 s: writes not done', 'writes', failed),
		createMeasure('calm: orders', 'orders', orders),
	];
}

/** Takes the store down just after one host was killed, so that the other hosts get confirmations neither from the store nor from all hosts. */
async function runOutage({clock, system, acknowledgedAt, failedAt}: PrimaryLossTestbed): Promise<{readonly pauseMs: number; readonly failed: number}> {
	system.kill(system.proxies[8]!);
	system.store.setFaults(undefined, {silent: true});
	const since = clock.now();
	await clock.advance(OUTAGE_MS);
	system.store.heal();
	await clock.advance(1000);
	return {pauseMs: getLongestPause(acknowledgedAt, since, clock.now()), failed: failedAt.filter(at => at >= since).length};
}
