import {expect} from 'chai';
import {createPoolHosts} from '../../src/connection-sharing/pool-hosts.js';
import {EMPTY_STATE, type MirrorState} from '../../src/mirror/mirror-state.js';
import type {StoreMirror} from '../../src/mirror/store-mirror.js';
import type {Routing} from '../../src/routes/routing.js';

const ENDPOINT = {id: 'i-1', group: 'nights'};

type Fleet = {
	readonly hosts: number;
	readonly zones: number;
	readonly maxConnections: number;
};

function makeState({hosts, zones, maxConnections}: Fleet): MirrorState {
	const routing: Routing = {
		version: 1, routes: new Map(), groups: new Map([['nights', {name: 'nights', maxConnections}]]), workspaces: new Map(), idleTransactionMs: 3000,
	};
	return {
		...EMPTY_STATE,
		routing,
		hosts: Array.from({length: hosts}, (_, i) => ({
			name: `entry-${i}`, peerAddress: `10.1.0.${i}:7000`, availabilityZone: `zone-${i % zones}`, version: i + 1,
		})),
	};
}

const createAt = (state: MirrorState, i: number) => createPoolHosts({
	mirror: {state} as unknown as StoreMirror, hostName: `entry-${i}`, availabilityZone: state.hosts[i]!.availabilityZone,
});

describe('the hosts that keep connections to an endpoint', () => {
	/** Every host must make the same selection, of `poolHosts` hosts: the fleets differ in hosts, zones and connections. */
	function doTest(name: string, fleet: Fleet, expected: {readonly shared: boolean; readonly poolHosts: number}) {
		it(name, () => {
			const state = makeState(fleet);
			const views = state.hosts.map((_, i) => createAt(state, i));
			const poolHosts = state.hosts.filter((_, i) => views[i]!.isPoolHost(ENDPOINT)).map(({name: host}) => host);
			expect({shared: views[0]!.isShared(ENDPOINT), poolHosts: poolHosts.length}).to.deep.equal(expected);
			for (const view of views) {
				expect(view.getHosts(ENDPOINT).map(({name: host}) => host).toSorted()).to.deep.equal(poolHosts.toSorted());
			}
		});
	}

	doTest('are all of a few hosts', {hosts: 9, zones: 4, maxConnections: 22}, {shared: false, poolHosts: 9});
	doTest('are one in each zone where each host could have only one connection', {hosts: 8, zones: 3, maxConnections: 16}, {shared: true, poolHosts: 3});
	doTest('are two in each zone of many hosts with few connections', {hosts: 68, zones: 3, maxConnections: 34}, {shared: true, poolHosts: 6});
	doTest('are more where there are more connections', {hosts: 300, zones: 4, maxConnections: 104}, {shared: true, poolHosts: 24});
	doTest('are one in each zone with hardly any connections', {hosts: 900, zones: 7, maxConnections: 10}, {shared: true, poolHosts: 7});
	doTest('are as many in one large zone as the connections allow', {hosts: 300, zones: 1, maxConnections: 34}, {shared: true, poolHosts: 8});

	it('are spread over the fleet by endpoint', () => {
		const selection = createAt(makeState({hosts: 68, zones: 3, maxConnections: 34}), 0);
		const counts = new Map<string, number>();
		for (let i = 0; i < 300; i++) {
			for (const {name} of selection.getHosts({id: `i-${i}`, group: 'nights'})) {
				counts.set(name, (counts.get(name) ?? 0) + 1);
			}
		}

		// 300 endpoints with 6 pool hosts each: 26 for each host on average.
		expect(Math.max(...counts.values())).to.be.lessThan(50);
	});

	it('are replaced by others of the same zone once they are marked as unresponsive', () => {
		const state = makeState({hosts: 12, zones: 3, maxConnections: 8});
		const first = createAt(state, 0).getHosts(ENDPOINT).find(({availabilityZone}) => availabilityZone === 'zone-0');
		const marked = {...state, hosts: state.hosts.map(host => host.name === first!.name ? {...host, gone: true} : host)};
		const left = createAt(marked, 3).getHosts(ENDPOINT);
		expect(left.map(({availabilityZone}) => availabilityZone).toSorted()).to.deep.equal(['zone-0', 'zone-1', 'zone-2']);
		expect(left.map(({name}) => name)).to.not.include(first!.name);
	});
});
