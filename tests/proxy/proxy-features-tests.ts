import {expect} from 'chai';
import type {BootSettings} from '../../src/platform/boot-settings.js';
import {getProxyFeatures} from '../../src/proxy/proxy-features.js';
import {readProxyCommandLine} from '../../src/proxy/read-proxy-command-line.js';

const SETTINGS: BootSettings = {
	hostName: 'entry-1',
	availabilityZone: 'hall-a',
	callerAddress: '10.0.0.1:1',
	readinessAddress: '10.0.0.1:2',
	peerAddress: '10.0.0.1:3',
	seeds: [],
	storeAddress: '10.0.0.2:1',
	ordersAddress: '10.0.0.2:2',
	zoneRegions: {'hall-a': 'north', 'hall-b': 'north'},
	isContended: false,
	capacity: 1.35,
	graceMs: 6000,
};

const DEFAULT_SCHEDULING = {
	capacity: 1.35, poolHosts: 3, roomFactor: 1.5, leastShare: 0.1,
};

describe('the features of a proxy', () => {
	function doTest(name: string, settings: Partial<BootSettings>, args: readonly string[], expected: {readonly scheduling: boolean; readonly regions: boolean}) {
		it(name, () => {
			const features = getProxyFeatures({...SETTINGS, ...settings}, readProxyCommandLine(args));
			expect(features.scheduling).to.deep.equal(expected.scheduling ? DEFAULT_SCHEDULING : undefined);
			expect(features.zoneRegions !== undefined).to.equal(expected.regions);
		});
	}

	const twoRegions = {zoneRegions: {'hall-a': 'north', 'hall-b': 'south'}};

	doTest('are absent where the settings ask for none', {}, [], {scheduling: false, regions: false});
	doTest('schedule statements where callers compete', {isContended: true}, [], {scheduling: true, regions: false});
	doTest('schedule statements and take account of regions where there are two', twoRegions, [], {scheduling: true, regions: true});
	doTest('are in force where the command line asks for them', {}, ['--scheduling=on', '--regions=on'], {scheduling: true, regions: true});
	doTest('are absent where the command line turns them off', {...twoRegions, isContended: true}, ['--scheduling=off', '--regions=off'], {scheduling: false, regions: false});
});
