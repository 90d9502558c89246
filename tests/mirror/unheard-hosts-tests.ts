import {expect} from 'chai';
import {createHostTree, type TreeHost} from '../../src/mirror/host-tree.js';
import {createUnheardHosts} from '../../src/mirror/unheard-hosts.js';

const HOSTS: readonly TreeHost[] = ['a', 'b', 'c'].map(name => ({name, peerAddress: `${name}:7000`, availabilityZone: 'z'}));
const TREE = createHostTree(HOSTS);
const ROOT = HOSTS[0]!;

describe('hosts that were not heard', () => {
	it('are those below that have not asked for long', () => {
		const unheard = createUnheardHosts(0);
		unheard.getUnheard(TREE, ROOT, 3000, 0);
		unheard.note('b:7000', [], 2500);
		expect(unheard.getUnheard(TREE, ROOT, 3000, 4000)).to.deep.equal(['c:7000']);
	});

	it('are told upwards by those that ask', () => {
		const unheard = createUnheardHosts(0);
		unheard.note('b:7000', ['x:7000'], 100);
		expect(unheard.getUnheard(TREE, ROOT, 3000, 200)).to.deep.equal(['x:7000']);
	});

	it('are told no longer than those that tell of them are heard', () => {
		const unheard = createUnheardHosts(0);
		unheard.note('x:7000', ['y:7000'], 100);
		expect(unheard.getUnheard(TREE, ROOT, 3000, 3200)).to.not.include('y:7000');
	});

	/** The tree changes as a host goes: one that moves below another has not asked there yet. */
	it('are given their time anew where they come below this host only now', () => {
		const unheard = createUnheardHosts(0);
		unheard.getUnheard(createHostTree([ROOT]), ROOT, 3000, 0);
		expect(unheard.getUnheard(TREE, ROOT, 3000, 60_000)).to.deep.equal([]);
	});
});
