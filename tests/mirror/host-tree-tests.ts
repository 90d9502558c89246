import {expect} from 'chai';
import {createHostTree, type TreeHost} from '../../src/mirror/host-tree.js';

const createHost = (name: string, availabilityZone: string): TreeHost => ({name, peerAddress: `${name}:7000`, availabilityZone});

/** Creates hosts named after their zones, such as `a-000`. */
function createHosts(perZone: Readonly<Record<string, number>>): readonly TreeHost[] {
	return Object.entries(perZone).flatMap(([zone, count]) => Array.from({length: count}, (_, i) => createHost(`${zone}-${String(i).padStart(3, '0')}`, zone)));
}

/** Returns the names of the hosts on the path from a host to the root, which reads the store. */
function getPath(hosts: readonly TreeHost[], host: TreeHost): readonly string[] {
	const parent = createHostTree(hosts).getParent(host);
	return parent ? [parent.name, ...getPath(hosts, parent)] : [];
}

describe('the tree of hosts', () => {
	function doTest(what: string, perZone: Readonly<Record<string, number>>, name: string, path: readonly string[]) {
		it(`has ${what}`, () => {
			const hosts = createHosts(perZone);
			const host = hosts.find(each => each.name === name) ?? createHost(name, name.split('-')[0]!);
			expect(getPath(hosts, host)).to.deep.equal(path);
		});
	}

	doTest('no parent for the first host by name', {a: 3, b: 3}, 'a-000', []);
	doTest('the root as parent of all others in its zone if they are few', {a: 3, b: 3}, 'a-002', ['a-000']);
	doTest('the root as parent of the first host of each other zone', {a: 3, b: 3}, 'b-000', ['a-000']);
	doTest('the first host of a zone as parent of its others', {a: 3, b: 3}, 'b-002', ['b-000', 'a-000']);
	doTest('a path of a few hosts in a large zone', {a: 40, b: 40}, 'b-033', ['b-006', 'b-001', 'b-000', 'a-000']);
	doTest('a place for a host that is not registered', {a: 3, b: 3}, 'b-001x', ['b-000', 'a-000']);
	doTest('no parent for a host that knows no other', {}, 'a-007', []);

	it('has each host poll one that precedes it by name, so that no hosts wait for each other in a cycle', () => {
		const hosts = createHosts({a: 128, b: 130, c: 7});
		const tree = createHostTree(hosts);
		expect(hosts.every(host => (tree.getParent(host)?.name ?? '') < host.name)).to.equal(true);
	});

	it('gives no host more than a few children, nor more than a few steps to the root, at 900 hosts', () => {
		const hosts = createHosts({
			a: 129, b: 129, c: 129, d: 129, e: 128, f: 128, g: 128,
		});
		const tree = createHostTree(hosts);
		expect(Math.max(...hosts.map(host => tree.getChildren(host).length))).to.be.at.most(11);
		expect(Math.max(...hosts.map(host => getPath(hosts, host).length))).to.be.at.most(5);
	});

	it('has as children of a host those that have it as their parent', () => {
		const hosts = createHosts({a: 33, b: 31, c: 1});
		const tree = createHostTree(hosts);
		for (const host of hosts) {
			expect(tree.getChildren(host)).to.have.deep.members(hosts.filter(other => tree.getParent(other) === host));
		}
	});
});
