import {expect} from 'chai';
import {createCountingHosts} from '../../src/workspaces/counting-hosts.js';

const createHosts = (count: number) => Array.from({length: count}, (_, i) => ({name: `entry-${i}`, peerAddress: `entry-${i}:7000`, availabilityZone: `zone-${i % 4}`}));

const WORKSPACES = Array.from({length: 500}, (_, i) => `w${i}`);

describe('the hosts that count operations', () => {
	function doTest(hosts: number, least: number, most: number) {
		it(`are ${least} to ${most} of ${hosts}`, () => {
			const counting = createCountingHosts(() => listed);
			const listed = createHosts(hosts);
			const first = new Set(WORKSPACES.map(workspace => counting.get(workspace)[0]));
			expect(first.size).to.be.within(least, most);
		});
	}

	doTest(1, 1, 1);
	doTest(9, 3, 8);
	doTest(82, 10, 16);
	doTest(300, 20, 32);
	doTest(900, 40, 64);

	it('stand by in other zones', () => {
		const listed = createHosts(82);
		const [first, second, third] = createCountingHosts(() => listed).get('w1').map(address => listed.find(({peerAddress}) => peerAddress === address)!.availabilityZone);
		expect(new Set([first, second, third]).size).to.equal(3);
	});

	it('stay for nearly all workspaces when one of them is gone', () => {
		let listed: ReadonlyArray<ReturnType<typeof createHosts>[number] & {readonly gone?: boolean}> = createHosts(82);
		const counting = createCountingHosts(() => listed);
		const before = new Map(WORKSPACES.map(workspace => [workspace, counting.get(workspace)[0]]));
		const gone = before.get('w1');
		listed = listed.map(host => ({...host, gone: host.peerAddress === gone}));
		const moved = WORKSPACES.filter(workspace => counting.get(workspace)[0] !== before.get(workspace));
		expect(moved.every(workspace => before.get(workspace) === gone)).to.equal(true);
	});

	it('are none before any host is registered', () => {
		expect(createCountingHosts(() => []).get('w1')).to.deep.equal([]);
	});
});
