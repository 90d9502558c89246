import fc from 'fast-check';
import {expect} from 'chai';
import {Outage} from '../../src/stand-ins/platform/platform-faults.js';
import {createFleet, type Fleet, type FleetProxy} from './configuration-fleet.js';

const SIZE = 5;
const GROUPS = ['a', 'b', 'c'];

/** One event: its kind, the proxy and group that it affects, and the pause after it. */
const event = fc.record({
	kind: fc.constantFrom('put', 'put', 'put-and-offer', 'delete', 'cut-links', 'cut-platform', 'outage', 'silence-watches', 'stale-offer', 'slow', 'lose', 'restart', 'jump', 'heal'),
	proxy: fc.nat(SIZE - 1),
	group: fc.constantFrom(...GROUPS),
	pauseMs: fc.nat(4000),
});

type Event = typeof event extends fc.Arbitrary<infer T> ? T : never;

describe('configuration under random faults', () => {
	// After any sequence of changes and faults, each proxy has the store's versions in force within 6 s of the last
	// change or of the end of the faults, whichever is later, and no proxy ever returns to a lower version.
	it('is in force everywhere 6 s after the faults end, and never reverts', async () => {
		await fc.assert(fc.asyncProperty(fc.array(event, {minLength: 5, maxLength: 25}), fc.integer({min: 1, max: 1000}), async (events, seed) => {
			const fleet = createFleet({size: SIZE, seed});
			fleet.put('a', 0);
			const proxies = await fleet.startAll();
			try {
				for (const each of events) {
					await act(fleet, proxies, each);
					await fleet.clock.advance(each.pauseMs);
				}

				heal(fleet, proxies);
				fleet.put('b', 1);
				await fleet.clock.advance(6000);
				const expected = getVersionsInStore(fleet);
				expect(proxies.map(proxy => getLiveVersions(proxy))).to.deep.equal(proxies.map(() => expected));
				expect(fleet.reverts).to.deep.equal([]);
			} finally {
				await fleet.stop();
			}
		}), {numRuns: 60, seed: 20_260_105});
	});
});

const act = async (fleet: Fleet, proxies: FleetProxy[], {kind, proxy: index, group, pauseMs}: Event) => {
	const proxy = proxies[index]!;
	const {faults} = proxy.platform.faultInjector;
	const actions: Record<Event['kind'], () => unknown> = {
		put: () => fleet.put(group, pauseMs),
		'put-and-offer': () => proxy.configuration.offer(group, fleet.put(group, pauseMs)),
		delete: () => fleet.put(group, pauseMs, {deleted: true}),
		'cut-links': () => fleet.cut.add(proxy.address),
		'cut-platform'() {
			faults.outage = Outage.Silent;
		},
		outage() {
			fleet.sharedFaultInjector.faults.outage = pauseMs % 2 ? Outage.Silent : Outage.Refusing;
		},
		'silence-watches'() {
			fleet.sharedFaultInjector.silenceOpenWatches();
		},
		'stale-offer'() {
			const entry = proxies[(index + 1) % SIZE]!.configuration.getEntry(group);
			return entry && proxy.configuration.applyOffer(entry);
		},
		slow() {
			faults.answerDelayMs = pauseMs / 4;
			faults.overtakenMs = pauseMs / 2;
		},
		lose() {
			faults.lostAnswers = 1;
		},
		async restart() {
			await proxy.stop();
			proxies[index] = await fleet.start(index);
		},
		jump() {
			fleet.clock.jumpWall((pauseMs - 2000) * 1_000_000);
		},
		heal() {
			heal(fleet, proxies);
		},
	};
	await actions[kind]();
};

const heal = (fleet: Fleet, proxies: readonly FleetProxy[]) => {
	fleet.cut.clear();
	for (const {faults} of [fleet.sharedFaultInjector, ...proxies.map(({platform}) => platform.faultInjector)]) {
		Object.assign(faults, {
			outage: Outage.None, answerDelayMs: 0, overtakenMs: 0, lostAnswers: 0,
		});
	}
};

const getVersionsInStore = ({store}: Fleet) => {
	const live = store.list('group', '').objects.filter(({value}) => !(value as {deleted: boolean}).deleted);
	return live.map(({name, version}) => `${name}@${version}`).toSorted();
};

const getLiveVersions = ({configuration}: FleetProxy) =>
	configuration.getGroups().map(({cfg, version}) => `${cfg.name}@${version}`).toSorted();
