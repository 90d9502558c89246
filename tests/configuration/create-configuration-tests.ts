import {expect} from 'chai';
import {createConfiguration, type ConfigurationState} from '../../src/configuration/create-configuration.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import type {PlatformObject} from '../../src/object-store/platform.js';
import {createGroupConfig} from './configuration-fleet.js';

const store = (name: string, version: number, more = {}): PlatformObject => ({
	kind: 'group', name, version, value: {cfg: createGroupConfig(name), audit: [], ...more},
});

type Example = {
	readonly title: string;
	run(configuration: ConfigurationState): unknown;
	readonly expected: string;
};

const examples: readonly Example[] = [
	{title: 'is empty at first', run: configuration => [configuration.getGroup('a'), configuration.getGroups()], expected: '[null,[]]'},
	{title: 'throws an error that names the unknown group', run: configuration => configuration.getGroupOrThrow('a'), expected: 'ConfigurationError: no group "a" is configured'},
	{
		title: 'hides a deleted group',
		run(configuration) {
			configuration.applyList({revision: 2, objects: [store('a', 1), store('b', 2, {deleted: true})]}, 0);
			return [configuration.getGroup('b'), configuration.getGroups().map(group => group.cfg.name)];
		},
		expected: '[null,["a"]]',
	},
	{
		title: 'accepts an offer once, and does not accept the same version again',
		run: configuration => [1, 1, 2].map(version => configuration.offer('a', {version, cfg: createGroupConfig('a')})),
		expected: '[true,false,true]',
	},
	{
		// Responses arrive out of order: the one that left the store first comes last. If it lowered the revision, each
		// following watch would return at once with changes that are known already.
		title: 'does not lower its revision on a late response',
		run(configuration) {
			configuration.applyList({revision: 7, objects: []}, 0);
			configuration.applyChanges({revision: 5, objects: []}, 0);
			const afterChanges = configuration.revision;
			configuration.applyList({revision: 4, objects: []}, 0);
			const afterList = configuration.revision;
			configuration.applyPeerEntries({
				since: 0, revision: 3, loaded: true, entries: [],
			});
			return [afterChanges, afterList, configuration.revision];
		},
		expected: '[7,7,7]',
	},
	{
		title: 'marks a group that is missing from a list as deleted, unless it is newer than the list',
		run(configuration) {
			configuration.applyList({revision: 2, objects: [store('a', 1), store('b', 2)]}, 0);
			configuration.applyChanges({revision: 6, objects: [store('c', 6)]}, 0);
			configuration.applyList({revision: 5, objects: [store('b', 2)]}, 0);
			return configuration.getEntries(0).map(({name, version, deleted}) => [name, version, deleted]);
		},
		expected: '[["a",5,true],["b",2,false],["c",6,false]]',
	},
	{
		title: 'accepts an older valid version of a group whose object is malformed',
		run(configuration) {
			configuration.applyList({revision: 9, objects: [{...store('a', 9), value: {}}]}, 0);
			return [configuration.getGroup('a'), configuration.offer('a', {version: 3, cfg: createGroupConfig('a')})];
		},
		expected: '[null,true]',
	},
];

describe('configuration', () => {
	const doTest = ({title, run, expected}: Example) => {
		it(title, () => {
			const configuration = createConfiguration({log: createSilentLog()});
			const getResult = () => {
				try {
					return JSON.stringify(run(configuration));
				} catch (err) {
					return String(err);
				}
			};

			expect(getResult()).to.equal(expected);
		});
	};

	for (const example of examples) {
		doTest(example);
	}
});
