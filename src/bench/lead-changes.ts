import type {
	Experiment, ExperimentOptions, ExperimentResult, Measure, Variant,
} from './experiment.js';
import {LEAD_LOSSES, type LeadLoss} from './lead-changes/losses.js';
import {
	getLongestPause, openLeadStage, PROXIES, WRITE_EVERY_MS, type LeadStage,
} from './lead-changes/stage.js';
import {ONE_READS, WAYS, type EvidenceWay} from './lead-changes/ways.js';
import {createMeasure} from './statistics.js';

/** Loses the primary of a group without a binding fence in every way, by each way of coming by evidence, in virtual time. */
export const leadChanges: Experiment = {
	name: 'lead-changes',
	description: 'Time without an acknowledged write after a loss of the primary, its parts, calls to the store and outages, by ways of evidence',
	run,
};

/** How long is looked for the gap, in milliseconds. */
const WATCH_MS = 14_000;

const CALM_MS = 30_000;

/** An outage of the store in calm times, in milliseconds: ordinary ones last 3 to 9 s. */
const OUTAGE_MS = 9000;

const PROMOTE_MS = 600;

/** Fields of the line that ends a replacement. */
const PARTS = ['markMs', 'revokeMs', 'chooseMs', 'promoteMs', 'settleMs'] as const;

type LossFigures = {
	readonly gapMs: number;
	readonly detectMs: number;
	readonly parts: Partial<Record<typeof PARTS[number], number>>;
	readonly orders: number;
};

async function run(options: ExperimentOptions): Promise<ExperimentResult> {
	const variants: Variant[] = [];
	for (const way of WAYS) {
		variants.push({name: way.name, measures: await measureWay(options, way)});
	}

	return {
		name: leadChanges.name,
		description: leadChanges.description,
		seeds: options.seeds,
		setting: {
			proxies: PROXIES, servers: 3, 'promotion (ms)': PROMOTE_MS, 'writes/s': 1000 / WRITE_EVERY_MS,
		},
		measures: variants[0]!.measures,
		baselines: variants.slice(1),
		plots: [],
	};
}

async function measureWay(options: ExperimentOptions, way: EvidenceWay): Promise<readonly Measure[]> {
	const measures = [...await measureCalm(options, way)];
	for (const loss of LEAD_LOSSES) {
		const figures: LossFigures[] = [];
		for (const seed of options.seeds) {
			figures.push(await runLoss(seed, way, loss));
		}

		options.report(`${way.name}: ${loss.name}: ${figures.map(each => describeGap(each)).join('; ')} ms`);
		measures.push(
			createMeasure(`${loss.name}: gap`, 'ms', figures.map(({gapMs}) => gapMs)),
			createMeasure(`${loss.name}: orders`, 'orders', figures.map(({orders}) => orders)),
		);
		if (way === ONE_READS) {
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

async function runLoss(seed: number, way: EvidenceWay, loss: LeadLoss): Promise<LossFigures> {
	const stage = await openLeadStage(seed, way, PROMOTE_MS);
	const {clock, lines, system, acknowledgedAt} = stage;
	await loss.begin(stage);
	const lostAt = clock.now();
	await clock.advance(WATCH_MS);
	const gapMs = getLongestPause(acknowledgedAt, lostAt, clock.now());
	const begun = lines.find(({at, sentence}) => at >= lostAt && sentence.includes('a primary is replaced'));
	const ended = lines.find(({at, sentence}) => at >= lostAt && sentence.includes('a group has a primary again'));
	const orders = system.orders.length;
	stage.stop();
	return {
		gapMs, detectMs: begun ? begun.at - lostAt : Number.NaN, parts: ended?.fields ?? {}, orders,
	};
}

async function measureCalm({seeds, report}: ExperimentOptions, way: EvidenceWay): Promise<readonly Measure[]> {
	const calls: number[] = [];
	const pauses: number[] = [];
	const failed: number[] = [];
	const orders: number[] = [];
	for (const seed of seeds) {
		const stage = await openLeadStage(seed, way, PROMOTE_MS);
		const before = stage.system.store.calls;
		await stage.clock.advance(CALM_MS);
		calls.push((stage.system.store.calls - before) * 1000 / CALM_MS);
		const outage = await runOutage(stage);
		pauses.push(outage.pauseMs);
		failed.push(outage.failed);
		orders.push(stage.system.orders.length);
		stage.stop();
	}

	report(`${way.name}: ${calls.map(each => each.toFixed(2)).join(' ')} calls/s; outage: ${pauses.join(' ')} ms, ${failed.join(' ')} failed`);
	return [
		createMeasure('calm: calls to the store', 'calls/s', calls),
		createMeasure('calm, the store down for 9 s: longest pause', 'ms', pauses),
		createMeasure('calm, the store down for 9 s: writes not done', 'writes', failed),
		createMeasure('calm: orders', 'orders', orders),
	];
}

/** The store is down, and a host was killed just before: the word of all hosts is not to be had. */
async function runOutage({clock, system, acknowledgedAt, failedAt}: LeadStage): Promise<{readonly pauseMs: number; readonly failed: number}> {
	system.kill(system.proxies[8]!);
	system.store.setTrouble(undefined, {silent: true});
	const since = clock.now();
	await clock.advance(OUTAGE_MS);
	system.store.heal();
	await clock.advance(1000);
	return {pauseMs: getLongestPause(acknowledgedAt, since, clock.now()), failed: failedAt.filter(at => at >= since).length};
}
