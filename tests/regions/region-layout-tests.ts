import {expect} from 'chai';
import type {HostTree, TreeHost} from '../../src/mirror/host-tree.js';
import {RegionLayout} from '../../src/regions/region-layout.js';
import {createTopology} from '../../src/regions/topology.js';

const TOPOLOGY = createTopology(new Map(['a', 'b', 'c', 'd', 'e', 'f'].map(zone => [zone, zone < 'd' ? 'east' : 'west'])), 'a');
const LAYOUT = new RegionLayout(TOPOLOGY);

/** Creates hosts such as `d-03` in each zone, of which the last two are large; the store is near the zones in `nearStore`. */
function createHosts(perZone: number, nearStore: readonly string[]): readonly TreeHost[] {
	return ['a', 'b', 'c', 'd', 'e', 'f'].flatMap(zone => Array.from({length: perZone}, (_, i): TreeHost => {
		const name = `${zone}-${String(i).padStart(2, '0')}`;
		return {
			name, peerAddress: `${name}:7000`, availabilityZone: zone, capacity: i < perZone - 2 ? 0.324 : 1.35, storeRttMs: nearStore.includes(zone) ? 5 : 20,
		};
	}));
}

function getPath(tree: HostTree, host: TreeHost): readonly string[] {
	const parent = tree.getParent(host);
	return parent ? [parent.name, ...getPath(tree, parent)] : [];
}

describe('the tree of hosts by regions', () => {
	function doTest(what: string, nearStore: readonly string[], name: string, path: readonly string[]) {
		it(`has ${what}`, () => {
			const hosts = createHosts(14, nearStore);
			expect(getPath(LAYOUT.createTree(hosts), hosts.find(host => host.name === name)!)).to.deep.equal(path);
		});
	}

	const inWest = ['d', 'e', 'f'];
	doTest('as root the first large host of the region nearest to the store', inWest, 'd-12', []);
	doTest('the root as parent of the first host of the other region', inWest, 'a-12', ['d-12']);
	doTest('the first host of the region as parent of the first of its other zones', inWest, 'b-12', ['a-12', 'd-12']);
	doTest('a large host as parent of a small one', inWest, 'b-03', ['b-12', 'a-12', 'd-12']);
	doTest('the other root where the store lies in the other region', ['a', 'b', 'c'], 'd-12', ['a-12']);
	doTest('the region that is first by name as the nearest where none was measured', [], 'd-12', ['a-12']);

	it('crosses between the regions once, and gives a small host few children', () => {
		for (const perZone of [14, 50, 150]) {
			const hosts = createHosts(perZone, inWest);
			const tree = LAYOUT.createTree(hosts);
			const crossing = hosts.filter(host => {
				const parent = tree.getParent(host);
				return parent && !TOPOLOGY.isSameRegion(parent.availabilityZone, host.availabilityZone);
			});
			expect(crossing.map(({name}) => name)).to.have.length(1);
			expect(Math.max(...hosts.filter(({capacity}) => capacity! < 1).map(host => tree.getChildren(host).length))).to.be.at.most(3);
			expect(Math.max(...hosts.map(host => getPath(tree, host).length))).to.be.at.most(7);
		}
	});

	it('has as children of a host those that have it as their parent', () => {
		const hosts = createHosts(33, inWest);
		const tree = LAYOUT.createTree(hosts);
		for (const host of hosts) {
			expect(tree.getChildren(host)).to.have.deep.members(hosts.filter(other => tree.getParent(other) === host));
		}
	});

	/**
	 * Two hosts hold different copies while the store's region is measured again: the first hosts of the two regions take each other for the root, and each would wait
	 * for the other until its primary leases have expired.
	 */
	it('lets no hosts wait for each other whose copies differ about the nearest region', () => {
		const [east, west] = [LAYOUT.createTree(createHosts(14, inWest)), LAYOUT.createTree(createHosts(14, ['a', 'b', 'c']))];
		const hosts = createHosts(14, []);
		const [first, second] = ['a-12', 'd-12'].map(name => hosts.find(host => host.name === name)!) as [TreeHost, TreeHost];
		expect([east.getParent(first)?.name, west.getParent(second)?.name]).to.deep.equal([second.name, first.name]);
		expect([LAYOUT.mayServe(second, first, false), LAYOUT.mayServe(first, second, false)]).to.deep.equal([false, false]);
		expect(LAYOUT.mayServe(second, first, true)).to.equal(true);
	});

	it('lets a host wait for one of its region that precedes it by what each states of itself', () => {
		const [small, large] = ['a-00', 'a-13'].map(name => createHosts(14, []).find(host => host.name === name)!) as [TreeHost, TreeHost];
		expect([LAYOUT.mayServe(large, small, false), LAYOUT.mayServe(small, large, false), LAYOUT.mayServe(small, {...large, capacity: 0.324}, false)]).to.deep.equal([true, false, true]);
	});
});
