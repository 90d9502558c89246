import {expect} from 'chai';
import {createIssuerHosts} from '../../src/workspaces/issuer-hosts.js';

const createHosts = (count: number) => Array.from({length: count}, (_, i) => ({name: `entry-${i}`, peerAddress: `entry-${i}:7000`, availabilityZone: `zone-${i % 4}`}));

const WORKSPACES = Array.from({length: 500}, (_, i) => `w${i}`);

describe('issuer hosts', () => {
	function doTest(hostCount: number, min: number, max: number) {
		it(`are ${min} to ${max} of ${hostCount}`, () => {
			const issuerHosts = createIssuerHosts(() => hosts);
			const hosts = createHosts(hostCount);
			const issuers = new Set(WORKSPACES.map(workspace => issuerHosts.get(workspace)[0]));
			expect(issuers.size).to.be.within(min, max);
		});
	}

	doTest(1, 1, 1);
	doTest(9, 3, 8);
	doTest(82, 10, 16);
	doTest(300, 20, 32);
	doTest(900, 40, 64);

	it('have fallbacks in other zones', () => {
		const hosts = createHosts(82);
		const [first, second, third] = createIssuerHosts(() => hosts).get('w1').map(address => hosts.find(({peerAddress}) => peerAddress === address)!.availabilityZone);
		expect(new Set([first, second, third]).size).to.equal(3);
	});

	it('change only for its own workspaces when one of them is unresponsive', () => {
		let hosts: ReadonlyArray<ReturnType<typeof createHosts>[number] & {readonly gone?: boolean}> = createHosts(82);
		const issuerHosts = createIssuerHosts(() => hosts);
		const before = new Map(WORKSPACES.map(workspace => [workspace, issuerHosts.get(workspace)[0]]));
		const unresponsive = before.get('w1');
		hosts = hosts.map(host => ({...host, gone: host.peerAddress === unresponsive}));
		const moved = WORKSPACES.filter(workspace => issuerHosts.get(workspace)[0] !== before.get(workspace));
		expect(moved.every(workspace => before.get(workspace) === unresponsive)).to.equal(true);
	});

	it('are none before any host is registered', () => {
		expect(createIssuerHosts(() => []).get('w1')).to.deep.equal([]);
	});
});
