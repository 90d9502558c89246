import {createMeasure} from '../statistics.js';
import type {Measure} from '../experiment.js';
import {
	createMirrorFleet, createRouting, type MirrorFleet, type MirrorHost,
} from './mirror-fleet.js';

/** A fleet in two regions to be measured. */
export type RegionalVariant = {
	readonly hostCount: number;
	/** Upload width of a small host, in megabits per second. */
	readonly smallMbits: number;
	/** Whether the hosts take account of the regions. */
	readonly isInForce: boolean;
};

const ZONES = 6;
const STEADY_STATE_MS = 7000;
const ROUTES = 34;
const MANY_ROUTES = 1700;

/** Measures store updates in two regions over links of limited width: in calm times, for a small and a large change, and after the hosts that lead were lost. */
export async function measureRegions({hostCount, smallMbits, isInForce}: RegionalVariant): Promise<readonly Measure[]> {
	const fleet = createMirrorFleet({hostCount, zoneCount: ZONES, regional: {isInForce, smallMbits}});
	fleet.store.setRouting(createRouting(1, ROUTES));
	await fleet.start();
	await fleet.clock.advance(STEADY_STATE_MS);
	fleet.resetFigures();
	const {calls} = fleet.store;
	await fleet.clock.advance(STEADY_STATE_MS);
	const measures = [
		createMeasure('calm: between regions', 'B/s', [fleet.crossRegionBytes * 1000 / STEADY_STATE_MS]),
		createMeasure('calm: sent by a host, most', 'B/s', [Math.max(...fleet.hosts.map(({sentBytes}) => sentBytes)) * 1000 / STEADY_STATE_MS]),
		createMeasure('calm: calls to the store', 'calls/s', [(fleet.store.calls - calls) * 1000 / STEADY_STATE_MS]),
		...await measureChange(fleet, 'one setting', createRouting(2, ROUTES, 900)),
		...await measureChange(fleet, '1,700 routes', createRouting(3, MANY_ROUTES)),
		...await measureLost(fleet, 'the root frozen', 4, heads => heads.filter(({address}) => fleet.isRoot(address))),
		...await measureLost(fleet, 'the root and the other region\'s first hosts frozen', 5, heads => heads),
	];
	fleet.stop();
	return measures;
}

async function measureChange(fleet: MirrorFleet, name: string, routing: ReturnType<typeof createRouting>): Promise<readonly Measure[]> {
	await fleet.clock.advance(STEADY_STATE_MS);
	fleet.resetFigures();
	const {calls} = fleet.store;
	fleet.store.setRouting(routing);
	const ms = await fleet.awaitVersion(fleet.hosts, routing.version);
	return [
		createMeasure(`${name}: everywhere after`, 'ms', [ms ?? Number.NaN]),
		createMeasure(`${name}: between regions`, 'B', [fleet.crossRegionBytes]),
		createMeasure(`${name}: contents that crossed`, 'messages', [fleet.crossings]),
		createMeasure(`${name}: calls to the store`, 'calls', [fleet.store.calls - calls]),
	];
}

/** Freezes some of the hosts that have no parent or a parent in another region, all at once, and measures the time until the others have the next change. */
async function measureLost(fleet: MirrorFleet, name: string, version: number, choose: (heads: readonly MirrorHost[]) => readonly MirrorHost[]): Promise<readonly Measure[]> {
	await fleet.clock.advance(STEADY_STATE_MS);
	const heads = choose(fleet.getHeads());
	for (const {address} of heads) {
		fleet.network.pause(address);
	}

	fleet.store.setRouting(createRouting(version, ROUTES));
	const ms = await fleet.awaitVersion(fleet.hosts.filter(host => !heads.includes(host)), version);
	for (const {address} of heads) {
		fleet.network.resume(address);
	}

	return [createMeasure(`${name}: a change everywhere after`, 'ms', [ms ?? Number.NaN])];
}
