import {expect} from 'chai';
import {createHostTree, type TreeHost} from '../../src/mirror/host-tree.js';
import {createSilentHosts} from '../../src/mirror/silent-hosts.js';

const HOSTS: readonly TreeHost[] = ['a', 'b', 'c'].map(name => ({name, peerAddress: `${name}:7000`, availabilityZone: 'z'}));
const TREE = createHostTree(HOSTS);
const ROOT = HOSTS[0]!;

describe('silent hosts', () => {
	it('are those below this host that have not polled for a while', () => {
		const silentHosts = createSilentHosts(0);
		silentHosts.getSilent(TREE, ROOT, 3000, 0);
		silentHosts.noteRequest('b:7000', [], 2500);
		expect(silentHosts.getSilent(TREE, ROOT, 3000, 4000)).to.deep.equal(['c:7000']);
	});

	/**
	 * The zone of the host that reads for all others is cut off. That host receives nothing from five other zones, of which only the first hosts poll it. When these were taken for five dead
	 * hosts of 195, they were marked as unresponsive and lost their primary leases while they served callers.
	 */
	it('are all hosts below a silent one', () => {
		const zones = ['a', 'b', 'c', 'd', 'e', 'f'];
		const hosts = zones.flatMap(zone => Array.from({length: 30}, (_, i) => ({name: `${zone}-${i + 10}`, peerAddress: `${zone}-${i + 10}:7000`, availabilityZone: zone})));
		const tree = createHostTree(hosts);
		const silentHosts = createSilentHosts(0);
		const root = hosts[0]!;
		silentHosts.getSilent(tree, root, 3000, 0);
		for (const child of tree.getChildren(root).filter(({availabilityZone}) => availabilityZone === 'a')) {
			silentHosts.noteRequest(child.peerAddress, [], 3500);
		}

		expect(silentHosts.getSilent(tree, root, 3000, 4000)).to.have.lengthOf(150);
	});

	it('are reported upwards by the hosts that poll', () => {
		const silentHosts = createSilentHosts(0);
		silentHosts.noteRequest('b:7000', ['x:7000'], 100);
		expect(silentHosts.getSilent(TREE, ROOT, 3000, 200)).to.deep.equal(['x:7000']);
	});

	it('are reported only as long as the reporting host polls', () => {
		const silentHosts = createSilentHosts(0);
		silentHosts.noteRequest('x:7000', ['y:7000'], 100);
		expect(silentHosts.getSilent(TREE, ROOT, 3000, 3200)).to.not.include('y:7000');
	});

	/** The tree changes when a host fails: a host that moves below another one has not polled it yet. */
	it('are counted from the time at which they moved below this host', () => {
		const silentHosts = createSilentHosts(0);
		silentHosts.getSilent(createHostTree([ROOT]), ROOT, 3000, 0);
		expect(silentHosts.getSilent(TREE, ROOT, 3000, 60_000)).to.deep.equal([]);
	});
});
