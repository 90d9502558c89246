import type {
	Experiment, ExperimentOptions, ExperimentResult, Measure, Variant,
} from './experiment.js';
import {createMirrorFleet, createRouting, type MirrorFleet} from './news-spread/mirror-fleet.js';
import {measureRegions} from './news-spread/measure-regions.js';
import {createMeasure} from './statistics.js';

/** Sends store updates to fleets of several sizes, in virtual time. */
export const newsSpread: Experiment = {
	name: 'news-spread',
	description: 'Bytes and calls to the store that news of it costs, and the time until the last host has it, by the size of the fleet',
	run,
};

/** Numbers of hosts and availability zones: those of the users' deployments, and the size for which the system is designed. */
const SIZES = [[9, 4], [68, 3], [195, 6], [900, 7]] as const;

/** Numbers of hosts in two regions with three zones each, and widths of the small hosts' links in megabits per second. */
const REGIONAL_SIZES = [86, 300, 900] as const;
const SMALL_MBITS = [2, 7] as const;

const STEADY_STATE_MS = 7000;

const ROUTES = 34;
const MANY_ROUTES = 1852;

async function run({seeds, report}: ExperimentOptions): Promise<ExperimentResult> {
	const variants: Variant[] = [];
	for (const [hostCount, zoneCount] of SIZES) {
		report(`${hostCount} hosts`);
		variants.push({name: `${hostCount} hosts in ${zoneCount} zones`, measures: await measureFleet(hostCount, zoneCount)});
	}

	for (const hostCount of REGIONAL_SIZES) {
		for (const smallMbits of SMALL_MBITS) {
			for (const isInForce of [false, true]) {
				report(`${hostCount} hosts in two regions, ${smallMbits} Mbit/s, ${isInForce ? 'by regions' : 'as before'}`);
				variants.push({
					name: `${hostCount} hosts in two regions, small hosts with ${smallMbits} Mbit/s, ${isInForce ? 'tree by regions' : 'tree by names'}`,
					measures: await measureRegions({hostCount, smallMbits, isInForce}),
				});
			}
		}
	}

	return {
		name: newsSpread.name,
		description: newsSpread.description,
		seeds,
		setting: {routes: ROUTES, 'many routes': MANY_ROUTES},
		measures: variants[0]!.measures,
		baselines: variants.slice(1),
		plots: [],
	};
}

async function measureFleet(hostCount: number, zoneCount: number): Promise<readonly Measure[]> {
	const fleet = createMirrorFleet({hostCount, zoneCount});
	fleet.store.setRouting(createRouting(1, ROUTES));
	await fleet.start();
	const {calls} = fleet.store;
	await fleet.clock.advance(STEADY_STATE_MS);
	const measures = [
		createMeasure('calm: calls to the store', 'calls/s', [(fleet.store.calls - calls) * 1000 / STEADY_STATE_MS]),
		createMeasure('calm: sent by a host, mean', 'B/s', [getMeanSentBytes(fleet) * 1000 / STEADY_STATE_MS]),
		createMeasure('calm: sent by a host, most', 'B/s', [getMaxSentBytes(fleet) * 1000 / STEADY_STATE_MS]),
		createMeasure('calm: between zones', 'B/s', [fleet.crossZoneBytes * 1000 / STEADY_STATE_MS]),
		...await measureChange(fleet, 'one setting', createRouting(2, ROUTES, 900)),
		...await measureChange(fleet, 'many routes', createRouting(3, MANY_ROUTES)),
		...await measureReaderFrozen(fleet),
	];
	fleet.stop();
	return measures;
}

async function measureChange(fleet: MirrorFleet, name: string, routing: ReturnType<typeof createRouting>): Promise<readonly Measure[]> {
	fleet.resetFigures();
	fleet.store.setRouting(routing);
	const ms = await fleet.awaitVersion(fleet.hosts, routing.version);
	return [
		createMeasure(`${name}: everywhere after`, 'ms', [ms ?? Number.NaN]),
		createMeasure(`${name}: sent by a host, most`, 'B', [getMaxSentBytes(fleet)]),
		createMeasure(`${name}: between zones`, 'B', [fleet.crossZoneBytes]),
	];
}

/** Freezes the host that reads the store for all, and measures the time and the store calls until the others have the next change. */
async function measureReaderFrozen(fleet: MirrorFleet): Promise<readonly Measure[]> {
	const {calls} = fleet.store;
	fleet.network.pause(fleet.hosts[0]!.address);
	fleet.store.setRouting(createRouting(4, ROUTES));
	const ms = await fleet.awaitVersion(fleet.hosts.slice(1), 4);
	return [
		createMeasure('the reading host frozen: a change everywhere after', 'ms', [ms ?? Number.NaN]),
		createMeasure('the reading host frozen: calls to the store', 'calls', [fleet.store.calls - calls]),
	];
}

function getMeanSentBytes({hosts}: MirrorFleet): number {
	return hosts.reduce((sum, {sentBytes}) => sum + sentBytes, 0) / hosts.length;
}

function getMaxSentBytes({hosts}: MirrorFleet): number {
	return Math.max(...hosts.map(({sentBytes}) => sentBytes));
}
