import type {Experiment, ExperimentOptions, Measure} from './experiment.js';
import {measureSingleNode} from './control/single-node.js';
import {fitSlopes} from './control/least-squares.js';
import {measureIdleFleet, type FleetFigures, type IdleFleet} from './control/idle-fleet.js';
import {createMeasure} from './statistics.js';

/** The fleet from which the others differ. */
const BASE_FLEET: IdleFleet = {
	nodes: 2, groups: 0, owners: 0, changesPerSecond: 0, absentHosts: 0, idleCallers: 0,
};

const FLEETS: readonly IdleFleet[] = [
	BASE_FLEET,
	{...BASE_FLEET, nodes: 12},
	{...BASE_FLEET, groups: 8, owners: 1},
	{...BASE_FLEET, groups: 8, owners: 2},
	{
		...BASE_FLEET, nodes: 6, groups: 8, owners: 3,
	},
	{
		...BASE_FLEET, nodes: 6, groups: 4, owners: 1, changesPerSecond: 1,
	},
	{
		...BASE_FLEET, nodes: 6, groups: 4, owners: 1, changesPerSecond: 4,
	},
	{...BASE_FLEET, absentHosts: 900},
	{...BASE_FLEET, idleCallers: 1000},
];

/** The factors of a fleet's cost, by the name of the unit for which each slope is reported. */
const FACTORS = {
	node: ({nodes}: IdleFleet) => nodes,
	'group at its first owner': ({groups}: IdleFleet) => groups,
	'group at a further owner': ({groups, owners}: IdleFleet) => groups * Math.max(0, owners - 1),
	'change a second at a node': ({nodes, changesPerSecond}: IdleFleet) => nodes * changesPerSecond,
	'listed host at a node': ({nodes, absentHosts}: IdleFleet) => nodes * absentHosts,
	'idle caller connection': ({nodes, idleCallers}: IdleFleet) => nodes * idleCallers,
};

type Factor = keyof typeof FACTORS;

const FACTOR_NAMES = Object.keys(FACTORS) as Factor[];

const UNITS: Readonly<Record<keyof FleetFigures, string>> = {
	milliCores: 'thousandths of a core', bytesPerSecond: 'B/s', residentMegabytes: 'MB resident', privateMegabytes: 'MB private', platformCallsPerSecond: 'calls/s',
};

/** Measures what a node costs without callers' requests: slopes over fleets of real processes, and parts of one process at the design size. */
export const control: Experiment = {
	name: 'control',
	description: 'Processor time, bytes, memory and platform calls of quiet daemons, as slopes over nodes, groups and changes',
	async run(options) {
		const singleNode = await measureSingleNode(options);
		const slopes = await measureSlopes(options);
		return {
			name: control.name,
			description: control.description,
			seeds: options.seeds,
			setting: {fleets: FLEETS.length, serversPerGroup: 3},
			measures: [...slopes, ...singleNode],
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
				const entry = values.get(name) ?? {unit: UNITS[figure], values: []};
				entry.values.push(slopes[factor]);
				values.set(name, entry);
			}
		}
	}

	return [...values].map(([name, {unit, values}]) => createMeasure(name, unit, values));
}

async function measureRound(round: number, {report}: ExperimentOptions) {
	const measured: Array<{fleet: IdleFleet; figures: FleetFigures}> = [];
	for (const fleet of FLEETS) {
		const figures = await measureIdleFleet(fleet);
		report(`control: round ${round}, ${JSON.stringify(fleet)}: ${JSON.stringify(figures)}`);
		measured.push({fleet, figures});
	}

	return measured;
}

function getFactors(fleet: IdleFleet): Record<Factor, number> {
	return Object.fromEntries(FACTOR_NAMES.map(name => [name, FACTORS[name](fleet)])) as Record<Factor, number>;
}
