import type {Experiment, ExperimentOptions, Measure} from './experiment.js';
import {measureInside} from './control/inside-one-node.js';
import {fitSlopes} from './control/least-squares.js';
import {measureQuietFleet, type FleetFigures, type QuietFleet} from './control/quiet-fleet.js';
import {createMeasure} from './statistics.js';

const PLAIN: QuietFleet = {
	nodes: 2, groups: 0, owners: 0, changesPerSecond: 0, absentHosts: 0, idleCallers: 0,
};

const FLEETS: readonly QuietFleet[] = [
	PLAIN,
	{...PLAIN, nodes: 12},
	{...PLAIN, groups: 8, owners: 1},
	{...PLAIN, groups: 8, owners: 2},
	{
		...PLAIN, nodes: 6, groups: 8, owners: 3,
	},
	{
		...PLAIN, nodes: 6, groups: 4, owners: 1, changesPerSecond: 1,
	},
	{
		...PLAIN, nodes: 6, groups: 4, owners: 1, changesPerSecond: 4,
	},
	{...PLAIN, absentHosts: 900},
	{...PLAIN, idleCallers: 1000},
];

/** What each factor's slope is told per. */
const FACTORS = {
	node: ({nodes}: QuietFleet) => nodes,
	'group at its first owner': ({groups}: QuietFleet) => groups,
	'group at a further owner': ({groups, owners}: QuietFleet) => groups * Math.max(0, owners - 1),
	'change a second at a node': ({nodes, changesPerSecond}: QuietFleet) => nodes * changesPerSecond,
	'listed host at a node': ({nodes, absentHosts}: QuietFleet) => nodes * absentHosts,
	'idle caller connection': ({nodes, idleCallers}: QuietFleet) => nodes * idleCallers,
};

type Factor = keyof typeof FACTORS;

const FACTOR_NAMES = Object.keys(FACTORS) as Factor[];

const UNITS: Readonly<Record<keyof FleetFigures, string>> = {
	milliCores: 'thousandths of a core', bytesPerSecond: 'B/s', residentMegabytes: 'MB resident', privateMegabytes: 'MB private', platformCallsPerSecond: 'calls/s',
};

/** What control costs a node: slopes over real processes without callers' requests, and parts of one process at the size designed for. */
export const control: Experiment = {
	name: 'control',
	description: 'Processor time, bytes, memory and platform calls of quiet daemons, as slopes over nodes, groups and changes',
	async run(options) {
		const inside = await measureInside(options);
		const slopes = await measureSlopes(options);
		return {
			name: control.name,
			description: control.description,
			seeds: options.seeds,
			setting: {fleets: FLEETS.length, serversPerGroup: 3},
			measures: [...slopes, ...inside],
			baselines: [],
			plots: [],
		};
	},
};

async function measureSlopes(options: ExperimentOptions): Promise<Measure[]> {
	const values = new Map<string, {readonly unit: string; readonly values: number[]}>();
	for (const round of options.seeds) {
		const rounds = await measureRound(round, options);
		for (const figure of Object.keys(UNITS) as Array<keyof FleetFigures>) {
			const slopes = fitSlopes(FACTOR_NAMES, rounds.map(({fleet, figures}) => ({factors: getFactors(fleet), value: figures[figure]})));
			for (const factor of FACTOR_NAMES) {
				const name = `${UNITS[figure]} for each ${factor}`;
				const known = values.get(name) ?? {unit: UNITS[figure], values: []};
				known.values.push(slopes[factor]);
				values.set(name, known);
			}
		}
	}

	return [...values].map(([name, {unit, values}]) => createMeasure(name, unit, values));
}

async function measureRound(round: number, {report}: ExperimentOptions) {
	const measured: Array<{fleet: QuietFleet; figures: FleetFigures}> = [];
	for (const fleet of FLEETS) {
		const figures = await measureQuietFleet(fleet);
		report(`control: round ${round}, ${JSON.stringify(fleet)}: ${JSON.stringify(figures)}`);
		measured.push({fleet, figures});
	}

	return measured;
}

function getFactors(fleet: QuietFleet): Record<Factor, number> {
	return Object.fromEntries(FACTOR_NAMES.map(name => [name, FACTORS[name](fleet)])) as Record<Factor, number>;
}
