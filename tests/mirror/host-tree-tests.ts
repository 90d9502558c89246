import {expect} from 'chai';
import {createHostTree, type TreeHost} from '../../src/mirror/host-tree.js';

const createHost = (name: string, availabilityZone: string): TreeHost => ({name, peerAddress: `${name}:7000`, availabilityZone});

/** Hosts named in the order of their zones, as `a-000`. */
function createHosts(perZone: Readonly<Record<string, number>>): readonly TreeHost[] {
	return Object.entries(perZone).flatMap(([zone, count]) => Array.from({length: count}, (_, i) => createHost(`${zone}-${String(i).padStart(3, '0')}`, zone)));
}

/** Names of the hosts on the way from one to the one that reads the store. */
function getWay(hosts: readonly TreeHost[], host: TreeHost): readonly string[] {
	const parent = createHostTree(hosts).getParent(host);
	return parent ? [parent.name, ...getWay(hosts, parent)] : [];
}

describe('the tree of hosts', () => {
	function doTest(what: string, perZone: Readonly<Record<string, number>>, name: string, way: readonly string[]) {
		it(`has ${what}`, () => {
			const hosts = createHosts(perZone);
			const host = hosts.find(each => each.name === name) ?? createHost(name, name.split('-')[0]!);
			expect(getWay(hosts, host)).to.deep.equal(way);
		});
	}

	doTest('nobody above the first host by name', {a: 3, b: 3}, 'a-000', []);
	doTest('the first one above all others of its zone, where they are few', {a: 3, b: 3}, 'a-002', ['a-000']);
	doTest('the first one above the first of each other zone', {a: 3, b: 3}, 'b-000', ['a-000']);
	doTest('the first of a zone above its others', {a: 3, b: 3}, 'b-002', ['b-000', 'a-000']);
	doTest('a few hosts above each in a large zone', {a: 40, b: 40}, 'b-033', ['b-006', 'b-001', 'b-000', 'a-000']);
	doTest('a place for a host that is not registered', {a: 3, b: 3}, 'b-001x', ['b-000', 'a-000']);
	doTest('nobody above a host where no other is known', {}, 'a-007', []);

	it('has each host ask one that is earlier by name, so that nobody waits in a circle', () => {
		const hosts = createHosts({a: 128, b: 130, c: 7});
		const tree = createHostTree(hosts);
		expect(hosts.every(host => (tree.getParent(host)?.name ?? '') < host.name)).to.equal(true);
	});

	it('gives nobody more than a few to answer, and few steps to news, at 900 hosts', () => {
		const hosts = createHosts({
			a: 129, b: 129, c: 129, d: 129, e: 128, f: 128, g: 128,
		});
		const tree = createHostTree(hosts);
		expect(Math.max(...hosts.map(host => tree.getChildren(host).length))).to.be.at.most(11);
		expect(Math.max(...hosts.map(host => getWay(hosts, host).length))).to.be.at.most(5);
	});

	it('has the same hosts below as have it above', () => {
		const hosts = createHosts({a: 33, b: 31, c: 1});
		const tree = createHostTree(hosts);
		for (const host of hosts) {
			expect(tree.getChildren(host)).to.have.deep.members(hosts.filter(other => tree.getParent(other) === host));
		}
	});
});
