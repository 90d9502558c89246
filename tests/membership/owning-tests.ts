import {expect} from 'chai';
import fc from 'fast-check';
import {createOwning} from '../../src/membership/create-owning.js';
import type {Hosts} from '../../src/membership/hosts.js';
import type {PlatformHost} from '../../src/object-store/platform.js';

const ZONES = ['hall-a', 'hall-b', 'hall-c', 'hall-d'];
const GROUPS = Array.from({length: 60}, (_, i) => `group-${i}`);

const createHost = (name: string, availabilityZone: string): PlatformHost => ({
	name, role: 'proxy', address: `${name}:7000`, availabilityZone, state: 'live',
});

const createFleet = (size: number) => Array.from({length: size}, (_, i) => createHost(`host-${i}`, ZONES[i % ZONES.length]!));

/** Creates a function that returns the names of the owners that a host with this list selects. */
const createChooser = (all: readonly PlatformHost[], unusable: readonly string[] = [], groupZones: readonly string[] = []) => {
	const usable = all.filter(host => !unusable.includes(host.name));
	const hosts: Partial<Hosts> = {getAll: () => all, getUsable: () => usable};
	const owning = createOwning({hosts: hosts as Hosts, getGroupZones: () => groupZones});
	return (group: string, count: number) => owning.getOwners(group, count, 0).map(host => host.name);
};

const getZone = (name: string) => ZONES[Number(name.split('-')[1]) % ZONES.length]!;

describe('owning', () => {
	const doTest = (title: string, chooser: ReturnType<typeof createChooser>, count: number, expected: string) => {
		it(title, () => {
			expect(chooser('sleep-logs', count).join(' ')).to.equal(expected);
		});
	};

	// The hash determines these results: a change here would move every group in a rolling upgrade.
	doTest('ranks three of nine', createChooser(createFleet(9)), 3, 'host-2 host-1 host-0');
	doTest('skips an unusable host', createChooser(createFleet(9), ['host-0']), 3, 'host-2 host-1 host-7');
	doTest('ranks the zones of the endpoints first', createChooser(createFleet(9), [], ['hall-b', 'hall-d']), 3, 'host-1 host-7 host-5');
	doTest('returns all hosts if there are too few', createChooser(createFleet(2)), 3, 'host-1 host-0');
	doTest('returns none if there are none', createChooser([]), 3, '');

	it('selects again when the usable hosts change', () => {
		const all = createFleet(9);
		let usable = all;
		const hosts: Partial<Hosts> = {getAll: () => all, getUsable: () => usable};
		const owning = createOwning({hosts: hosts as Hosts});
		const [first, second] = owning.getOwners('sleep-logs', 2, 0);
		usable = all.filter(host => host !== first);
		expect(owning.getOwners('sleep-logs', 2, 0)[0]).to.equal(second);
	});

	it('selects the same owners on hosts that have the same list in another order', () => {
		fc.assert(fc.property(fc.shuffledSubarray(createFleet(30), {minLength: 1}), fc.integer({min: 1, max: 9}), (shuffled, count) => {
			const ordered = shuffled.toSorted((left, right) => left.name < right.name ? -1 : 1);
			const [here, there] = [createChooser(shuffled), createChooser(ordered)];
			for (const group of GROUPS) {
				expect(here(group, count)).to.deep.equal(there(group, count));
			}
		}), {seed: 1});
	});

	it('selects among usable hosts as if there were no others', () => {
		fc.assert(fc.property(fc.subarray(createFleet(40)), fc.integer({min: 1, max: 9}), (removed, count) => {
			const names = removed.map(host => host.name);
			const [passingOver, without] = [createChooser(createFleet(40), names), createChooser(createFleet(40).filter(host => !names.includes(host.name)))];
			for (const group of GROUPS) {
				expect(passingOver(group, count)).to.deep.equal(without(group, count));
			}
		}), {seed: 1});
	});

	// When a host is replaced and other hosts' groups moved too, their new owners would have to open all connections again.
	it('moves only the groups of a host that is replaced', () => {
		fc.assert(fc.property(fc.integer({min: 5, max: 40}), fc.nat(), fc.integer({min: 1, max: 9}), (size, pick, count) => {
			const fleet = createFleet(size);
			const old = fleet[pick % size]!;
			const replacement = createHost('replacement', old.availabilityZone);
			const [before, after] = [createChooser(fleet), createChooser(fleet.with(pick % size, replacement))];
			for (const group of GROUPS) {
				const [left, right] = [new Set(before(group, count)), new Set(after(group, count))];
				const removed = [...left].filter(name => !right.has(name));
				const added = [...right].filter(name => !left.has(name));
				if (!left.has(old.name) && !right.has(replacement.name)) {
					expect([...removed, ...added], group).to.deep.equal([]);
				} else {
					expect(removed.length, group).to.be.at.most(left.has(old.name) && right.has(replacement.name) ? 1 : 2);
				}
			}
		}), {seed: 1});
	});

	it('spreads owners over as many zones as there are', () => {
		const choose = createChooser(createFleet(36));
		for (const group of GROUPS) {
			for (const count of [1, 2, 3, 4, 9]) {
				const zones = new Set(choose(group, count).map(name => getZone(name)));
				expect(zones.size, `${group} ${count}`).to.equal(Math.min(count, ZONES.length));
			}
		}
	});

	it('gives each host its share of groups', () => {
		const choose = createChooser(createFleet(8));
		const owned = new Map<string, number>();
		for (let i = 0; i < 4000; i++) {
			const [first] = choose(`group-${i}`, 1);
			owned.set(first!, (owned.get(first!) ?? 0) + 1);
		}

		for (const [name, groups] of owned) {
			expect(groups, name).to.be.within(420, 580);
		}
	});
});
