import {expect} from 'chai';
import {
	createFleet, createGroupConfig, type Fleet, type FleetProxy,
} from './configuration-fleet.js';

type Example = {
	readonly title: string;
	/** Acts on two proxies that have group a in force at version 1, the second cut off from the store; returns the result to check. */
	run(fleet: Fleet, fresh: FleetProxy, stale: FleetProxy): Promise<unknown>;
	readonly expected: unknown;
};

const examples: readonly Example[] = [
	{
		title: 'a frame with a higher version causes the group to be fetched',
		async run({put, clock}, fresh, stale) {
			put('a', 2000);
			await clock.advance(10);
			stale.configurationPeers.reconcile('a', 2, fresh.address);
			await clock.advance(10);
			return stale.show();
		},
		expected: 'a@2',
	},
	{
		title: 'a frame with a lower version causes the group to be offered to its sender',
		async run({put, clock}, fresh, stale) {
			put('a', 2000);
			await clock.advance(10);
			fresh.configurationPeers.reconcile('a', 1, stale.address);
			await clock.advance(10);
			return stale.show();
		},
		expected: 'a@2',
	},
	{
		title: 'an unknown group is fetched, and one that the peer lacks stays unknown',
		async run({put, clock}, fresh, stale) {
			put('c', 2000);
			await clock.advance(10);
			stale.configurationPeers.reconcile('c', 2, fresh.address);
			stale.configurationPeers.reconcile('d', 7, fresh.address);
			await clock.advance(10);
			return stale.show();
		},
		expected: 'a@1 c@2',
	},
	{
		// A busy link carries thousands of frames a second, each with the newer version, while the response is on its way.
		title: 'the frames of a busy link cause one call a second',
		async run({put, clock, peerCalls}, fresh, stale) {
			put('a', 2000);
			await clock.advance(10);
			peerCalls.length = 0;
			for (let i = 0; i < 5000; i++) {
				stale.configurationPeers.reconcile('a', 2, fresh.address);
			}

			return peerCalls;
		},
		expected: ['configuration-get 127.0.0.1:7001 127.0.0.1:7000'],
	},
	{
		title: 'frames with equal versions cause no call',
		async run({peerCalls}, fresh, stale) {
			peerCalls.length = 0;
			stale.configurationPeers.reconcile('a', 1, fresh.address);
			return peerCalls;
		},
		expected: [],
	},
	{
		title: 'few exchanges run at once, however many groups differ',
		async run({peerCalls, cut}, fresh, stale) {
			cut.add(fresh.address);
			peerCalls.length = 0;
			for (let i = 0; i < 100; i++) {
				stale.configurationPeers.reconcile(`x${i}`, 9, fresh.address);
			}

			return peerCalls.length;
		},
		expected: 8,
	},
	{
		// A faulty release, or a peer with bad memory, offers a configuration that no operator could have written.
		title: 'a malformed offer is rejected, logged and not offered on',
		async run({clock}, fresh, stale) {
			const bad = {...createGroupConfig('a', 5000), owners: 1000};
			fresh.configuration.onOffer(() => {
				throw new Error('taken');
			});
			fresh.configuration.offer('a', {version: 9, cfg: bad});
			fresh.configuration.offer('b', {version: 9, cfg: createGroupConfig('a')});
			await clock.advance(100);
			return [fresh.show(), stale.show(), fresh.errors];
		},
		expected: ['a@1', 'a@1', [
			'configuration: refused a malformed group {"source":"offer","reason":"cfg.owners: Too big: expected number to be <=9"}',
			'configuration: refused a malformed group {"source":"offer","reason":"it: the configuration names another group"}',
		]],
	},
	{
		title: 'more groups than a page holds are pulled page by page',
		async run({put, clock}, fresh, stale) {
			for (let i = 0; i < 250; i++) {
				put(`g${i}`, 1000);
			}

			await clock.advance(6000);
			const {configuration} = stale;
			return [configuration.getGroups().length, configuration.revision];
		},
		expected: [251, 251],
	},
	{
		// A group changes on the peer after the page with its name was sent, while the later pages are on their way.
		title: 'a change between two pages is received by the next pull',
		async run({put, clock, peerCalls, store}, fresh, stale) {
			for (let i = 0; i < 250; i++) {
				put(`g${i}`, 1000);
			}

			const isSecondPageAsked = () => peerCalls.filter(call => call.startsWith('configuration-all')).length === 2;
			while (!isSecondPageAsked()) {
				await clock.advance(1);
			}

			put('a', 2000);
			fresh.configuration.applyChanges({revision: store.revision, objects: [store.get('group', 'a')!]}, clock.now());
			await clock.advance(6000);
			return stale.configuration.getEntry('a')?.version;
		},
		expected: 252,
	},
	{
		title: 'entries from a peer that has not loaded its configuration do not make this one loaded',
		async run({clock, start, sharedFaultInjector}) {
			sharedFaultInjector.faults.outage = 'silent';
			const first = await start(0);
			const second = await start(1);
			await clock.advance(10_000);
			return [first.configuration.loaded, second.configuration.loaded];
		},
		expected: [false, false],
	},
	{
		title: 'an invalid entry from a peer does not raise the revision, and the valid ones are applied',
		async run(_fleet, fresh) {
			const {configuration} = fresh;
			configuration.applyPeerEntries({
				since: 1, revision: 9, loaded: true, entries: [{name: 'x'}, {
					name: 'y', version: 8, cfg: createGroupConfig('y'), deleted: false,
				}],
			});
			return [fresh.show(), configuration.revision];
		},
		expected: ['a@1 y@8', 1],
	},
];

describe('configuration peers', () => {
	const doTest = ({title, run, expected}: Example) => {
		it(title, async () => {
			const fleet = createFleet({size: 2});
			fleet.put('a', 1000);
			const [fresh, stale] = await fleet.startAll();
			stale!.platform.faultInjector.faults.outage = 'silent';
			await fleet.clock.advance(100);
			try {
				expect(await run(fleet, fresh!, stale!)).to.deep.equal(expected);
				expect(fleet.reverts).to.deep.equal([]);
			} finally {
				await fleet.stop();
			}
		});
	};

	for (const example of examples) {
		doTest(example);
	}
});
