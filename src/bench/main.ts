#!/usr/bin/env node
import process from 'node:process';
import {defineCommand, runMain} from 'citty';
import type {ExperimentResult, Measure} from './experiment.js';
import {EXPERIMENTS} from './experiments.js';
import {writeResult} from './write-result.js';

const DEFAULT_SEEDS = 5;

const command = defineCommand({
	meta: {name: 'bench', description: 'Runs an experiment and writes its figures and plots.'},
	args: {
		experiment: {type: 'positional', required: false, description: 'Name of the experiment; without one they are listed'},
		seeds: {type: 'string', default: String(DEFAULT_SEEDS), description: 'How many seeds to run'},
		out: {type: 'string', description: 'Result file; default results/<experiment>.json'},
	},
	async run({args}) {
		if (!args.experiment) {
			listExperiments();
			return;
		}

		await runExperiment(args.experiment, args.seeds, args.out);
	},
});

function listExperiments() {
	for (const {name, description} of Object.values(EXPERIMENTS)) {
		console.log(`${name.padEnd(16)} ${description}`);
	}
}

async function runExperiment(name: string, seedsText: string, out?: string) {
	const experiment = EXPERIMENTS[name];
	const count = Number(seedsText);
	if (!experiment || !Number.isInteger(count) || count < 1) {
		console.error(experiment ? `--seeds must be a whole number from 1, not ${seedsText}` : `no experiment is called ${name}`);
		process.exitCode = 2;
		return;
	}

	const result = await experiment.run({
		seeds: Array.from({length: count}, (_, i) => i + 1),
		report(line) {
			console.error(line);
		},
	});
	printResult(result);
	for (const file of await writeResult(result, out ?? `results/${name}.json`)) {
		console.log(`wrote ${file}`);
	}
}

function printResult(result: ExperimentResult) {
	for (const {name, measures} of [{name: result.name, measures: result.measures}, ...result.baselines]) {
		console.log(name);
		for (const measure of measures) {
			console.log(`  ${formatMeasure(measure)}`);
		}
	}
}

function formatMeasure({name, value, unit, spread}: Measure): string {
	return `${name}: ${value} ${unit} (${spread.least} to ${spread.greatest})`;
}

await runMain(command);
