import {expect} from 'chai';
import {createHostTree, type TreeHost} from '../../src/mirror/host-tree.js';
import {createSilentHosts} from '../../src/mirror/silent-hosts.js';

const HOSTS: readonly TreeHost[] = ['a', 'b', 'c'].map(name => ({name, peerAddress: `${name}:7000`, availabilityZone: 'z'}));
const TREE = createHostTree(HOSTS);
const ROOT = HOSTS[0]!;

describe('hosts that were not heard', () => {
	it('are those below that have not asked for long', () => {
		const unheard = createSilentHosts(0);
		unheard.getSilent(TREE, ROOT, 3000, 0);
		unheard.noteRequest('b:7000', [], 2500);
		expect(unheard.getSilent(TREE, ROOT, 3000, 4000)).to.deep.equal(['c:7000']);
	});

	/**
	 * The zone of the host that reads for all is cut off. It hears nothing of five other zones, of which it knows the first hosts only; taken for five dead hosts of 195 these
	 * were marked, and lost their evidence while they served callers.
	 */
	it('are all hosts behind one that is not heard', () => {
		const zones = ['a', 'b', 'c', 'd', 'e', 'f'];
		const hosts = zones.flatMap(zone => Array.from({length: 30}, (_, i) => ({name: `${zone}-${i + 10}`, peerAddress: `${zone}-${i + 10}:7000`, availabilityZone: zone})));
		const tree = createHostTree(hosts);
		const unheard = createSilentHosts(0);
		const root = hosts[0]!;
		unheard.getSilent(tree, root, 3000, 0);
		for (const child of tree.getChildren(root).filter(({availabilityZone}) => availabilityZone === 'a')) {
			unheard.noteRequest(child.peerAddress, [], 3500);
		}

		expect(unheard.getSilent(tree, root, 3000, 4000)).to.have.lengthOf(150);
	});

	it('are told upwards by those that ask', () => {
		const unheard = createSilentHosts(0);
		unheard.noteRequest('b:7000', ['x:7000'], 100);
		expect(unheard.getSilent(TREE, ROOT, 3000, 200)).to.deep.equal(['x:7000']);
	});

	it('are told no longer than those that tell of them are heard', () => {
		const unheard = createSilentHosts(0);
		unheard.noteRequest('x:7000', ['y:7000'], 100);
		expect(unheard.getSilent(TREE, ROOT, 3000, 3200)).to.not.include('y:7000');
	});

	/** The tree changes as a host goes: one that moves below another has not asked there yet. */
	it('are given their time anew where they come below this host only now', () => {
		const unheard = createSilentHosts(0);
		unheard.getSilent(createHostTree([ROOT]), ROOT, 3000, 0);
		expect(unheard.getSilent(TREE, ROOT, 3000, 60_000)).to.deep.equal([]);
	});
});
