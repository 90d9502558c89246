import {expect} from 'chai';
import {
	createFleet, createGroupConfig, type Fleet, type FleetOptions, type FleetProxy,
} from './configuration-fleet.js';

/** Property: an accepted configuration is in force on every proxy within 6 s and never reverts. */
const IN_FORCE_MS = 6000;

type Scenario = FleetOptions & {
	readonly title: string;
	/** Acts on a fleet that has loaded group a at version 1 and b at version 2; returns the proxies that are checked at the end. */
	run(fleet: Fleet, proxies: FleetProxy[]): Promise<readonly FleetProxy[]>;
	/** The versions that each of those proxies has in force. */
	readonly expected: string;
};

const scenarios: readonly Scenario[] = [
	{
		// A drain order is accepted, but one proxy goes on sending work to the endpoint: a device on the network path
		// dropped the connection of its open watch without notice, and the watch never returns.
		title: 'a proxy whose watch went silent sends a new request',
		size: 1,
		async run({put, clock}, proxies) {
			proxies[0]!.platform.faultInjector.silenceOpenWatches();
			put('a', 2000);
			await clock.advance(IN_FORCE_MS);
			return proxies;
		},
		expected: 'a@3 b@2',
	},
	{
		// One proxy applies an old limit for hours although all others have the new one: it alone is cut off from the
		// platform. Its calls to the store and to the host list fail, but its links to peers work.
		title: 'a proxy cut off from the platform receives a change from a peer',
		async run({put, clock}, proxies) {
			proxies[2]!.platform.faultInjector.faults.outage = 'silent';
			await clock.advance(60_000);
			put('a', 2000);
			await clock.advance(IN_FORCE_MS);
			return proxies;
		},
		expected: 'a@3 b@2',
	},
	{
		// An operator's change is accepted while no watch of the fleet works, as after a change to the load balancer in
		// front of the platform. Only the proxy that wrote the change has it.
		title: 'a change spreads at once from the proxy that wrote it when no watch works',
		size: 9,
		async run({put, clock, sharedFaultInjector}, proxies) {
			sharedFaultInjector.faults.deadWatches = true;
			await clock.advance(60_000);
			proxies[4]!.configuration.offer('a', put('a', 2000));
			await clock.advance(50);
			return proxies;
		},
		expected: 'a@3 b@2',
	},
	{
		// As before, with more proxies than one proxy sends offers to.
		title: 'a change spreads over many proxies when no watch works',
		size: 60,
		async run({put, clock, sharedFaultInjector}, proxies) {
			sharedFaultInjector.faults.deadWatches = true;
			await clock.advance(10_000);
			proxies[4]!.configuration.offer('a', put('a', 2000));
			await clock.advance(50);
			return proxies;
		},
		expected: 'a@3 b@2',
	},
	{
		// The platform is down, and a host is replaced. Callers that the load balancer sends to the new host would be
		// refused until the platform is back, although every other proxy has the configuration.
		title: 'a proxy that starts in an outage loads from a peer',
		async run({clock, sharedFaultInjector, start}) {
			sharedFaultInjector.faults.outage = 'silent';
			await clock.advance(60_000);
			const restarted = await start(1);
			await clock.advance(IN_FORCE_MS);
			return [restarted];
		},
		expected: 'a@1 b@2',
	},
	{
		// As before, but the host list also comes from the platform, so the new proxy knows no peer. A peer that still
		// lists its address forwards a request to it.
		title: 'a proxy that starts in an outage without a host list loads from a peer that calls it',
		withoutHosts: true,
		async run({clock, sharedFaultInjector, start}, proxies) {
			sharedFaultInjector.faults.outage = 'silent';
			const restarted = await start(1);
			await clock.advance(5000);
			restarted.configurationPeers.reconcile('a', 1, proxies[0]!.address);
			await clock.advance(IN_FORCE_MS);
			return [restarted];
		},
		expected: 'a@1 b@2',
	},
	{
		// A limit that was lowered would be high again on one proxy: a peer that was cut off when the change came
		// offers the version that it still has.
		title: 'an older version offered by a stale peer is not accepted',
		async run({put, clock, cut}, proxies) {
			const [first, , stale] = proxies;
			cut.add(stale!.address);
			stale!.platform.faultInjector.faults.outage = 'silent';
			put('a', 2000);
			await clock.advance(IN_FORCE_MS);
			const old = stale!.configuration.getGroupOrThrow('a');
			cut.clear();
			first!.configuration.offer('a', old);
			await clock.advance(IN_FORCE_MS);
			return proxies;
		},
		expected: 'a@3 b@2',
	},
	{
		// The store sends a full list just before a change, and the list arrives after the watch has returned the change.
		// If the list replaced newer entries, the change would be undone and a new group would be marked as deleted.
		title: 'a list that arrives after newer changes does not undo them',
		async run({put, clock, sharedFaultInjector}, proxies) {
			const late = await proxies[0]!.platform.list('group', '', 1000);
			put('a', 2000);
			put('c', 1000);
			await clock.advance(IN_FORCE_MS);
			proxies[0]!.configuration.applyList(late, clock.now());
			proxies[0]!.configuration.applyChanges({...late, objects: late.objects.slice(0, 1)}, clock.now());
			sharedFaultInjector.faults.overtakenMs = 900;
			put('b', 2000);
			await clock.advance(IN_FORCE_MS);
			return proxies;
		},
		expected: 'a@3 b@5 c@4',
	},
	{
		// The store commits a change, but its response is lost, so the proxy that wrote it can't tell and offers nothing.
		title: 'a change whose response was lost still comes into force',
		async run({clock, sharedFaultInjector}, proxies) {
			sharedFaultInjector.faults.lostAnswers = 1;
			const value = {
				cfg: createGroupConfig('a', 2000), audit: [], nextArchive: 0, deleted: false,
			};
			const lost = proxies[0]!.platform.put({
				kind: 'group', name: 'a', value, expectedVersion: 1,
			}, 1000).catch(() => undefined);
			await clock.advance(IN_FORCE_MS);
			await lost;
			return proxies;
		},
		expected: 'a@3 b@2',
	},
	{
		// Two changes come while a proxy's watch is silent. A peer offers it the second. If the offer raised the revision
		// to the second's version, no later watch would return the first.
		title: 'an offer of a later change does not hide an earlier one from the watch',
		size: 1,
		async run({put, clock}, proxies) {
			proxies[0]!.platform.faultInjector.silenceOpenWatches();
			put('a', 2000);
			proxies[0]!.configuration.applyOffer({name: 'b', ...put('b', 2000)});
			await clock.advance(IN_FORCE_MS);
			return proxies;
		},
		expected: 'a@3 b@4',
	},
	{
		// The host's wall clock is set forward, then back by two years, while the proxy is cut off from the platform. A
		// silence measured by the wall clock would be negative, and nothing would be pulled from a peer.
		title: 'jumps of the wall clock have no effect',
		async run({put, clock}, proxies) {
			proxies[2]!.platform.faultInjector.faults.outage = 'silent';
			clock.jumpWall(31_536_000_000);
			put('a', 2000);
			await clock.advance(IN_FORCE_MS);
			clock.jumpWall(-63_072_000_000);
			put('a', 3000);
			await clock.advance(IN_FORCE_MS);
			return proxies;
		},
		expected: 'a@4 b@2',
	},
	{
		// An operator deletes a group. A proxy that was offline for a day returns and offers the group, and the group's
		// endpoints would get work again.
		title: 'a deleted group does not come back',
		async run({put, clock}, proxies) {
			const old = proxies[0]!.configuration.getGroupOrThrow('a');
			put('a', 1000, {deleted: true});
			await clock.advance(IN_FORCE_MS);
			proxies[0]!.configuration.offer('a', old);
			await clock.advance(IN_FORCE_MS);
			return proxies;
		},
		expected: 'a@3 deleted b@2',
	},
	{
		// As before, but someone deleted the object itself with the platform's own tools, and the proxy that is offered
		// the old version started afterwards, so it has no record of the group.
		title: 'a group whose object was deleted does not come back on a proxy that started later',
		async run({store, clock, start}, proxies) {
			const old = proxies[0]!.configuration.getGroupOrThrow('a');
			store.delete('group', 'a', 1);
			const restarted = await start(1);
			await clock.advance(IN_FORCE_MS);
			restarted.configuration.offer('a', old);
			await clock.advance(IN_FORCE_MS);
			return [restarted];
		},
		expected: 'b@2',
	},
	{
		// Someone writes an object by hand and omits a field. If it were applied, requests to that group would fail; if
		// it broke the watch loop, no later change would come into force.
		title: 'a malformed object is rejected and the last valid one stays',
		async run({store, put, clock}, proxies) {
			store.put({
				kind: 'group', name: 'a', value: {cfg: {name: 'a'}}, expectedVersion: 1,
			});
			put('b', 2000);
			await clock.advance(IN_FORCE_MS);
			return proxies;
		},
		expected: 'a@1 b@4',
	},
	{
		// The store is slow for an hour: each response takes 3.5 s, longer than the first timeout of a watch. A proxy that
		// never waited longer would give up on every response just before it arrived.
		title: 'late responses of a slow store are accepted',
		size: 1,
		async run({put, clock, sharedFaultInjector}, proxies) {
			sharedFaultInjector.faults.answerDelayMs = 3500;
			await clock.advance(60_000);
			put('a', 2000);
			await clock.advance(30_000);
			return proxies;
		},
		expected: 'a@3 b@2',
	},
];

describe('an accepted configuration is in force everywhere and never reverts', () => {
	const doTest = ({title, run, expected, ...options}: Scenario) => {
		it(title, async () => {
			const fleet = createFleet(options);
			fleet.put('a', 1000);
			fleet.put('b', 1000);
			const proxies = await fleet.startAll();
			try {
				const checked = await run(fleet, proxies);
				expect(checked.map(proxy => `${proxy.address} ${proxy.show()}`)).to.deep.equal(checked.map(proxy => `${proxy.address} ${expected}`));
				expect(fleet.reverts).to.deep.equal([]);
			} finally {
				await fleet.stop();
			}
		});
	};

	for (const scenario of scenarios) {
		doTest(scenario);
	}
});
