import {expect} from 'chai';
import {gatherCandidates, keepFenced} from '../../src/leadership/ask-endpoints.js';
import {replacePrimary} from '../../src/leadership/replace-primary.js';
import type {ReplacePrimaryParts} from '../../src/leadership/replace-parts.js';
import type {OrderOutcome} from '../../src/leadership/promotion-orders.js';
import type {EndpointCommand, EndpointStatus} from '../../src/links/endpoint-link.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const BEFORE = {
	group: 'nights', primaryId: 'p', term: 1, epoch: 1, phase: 'steady', start: {term: 1, position: 0}, changedBy: 'entry-1', version: 3,
} as const;

/** Creates two replicas, of which `x` has the further log, and a host list with one unresponsive host; `x` loses its fence at `losesFenceAtMs`. */
function createParts(losesFenceAtMs: number) {
	const clock = createVirtualClock(0);
	const fenced = new Map<string, number>();
	const orders: string[] = [];
	const ask = async (id: string, {kind, ...command}: EndpointCommand): Promise<EndpointStatus> => {
		if (kind === 'fence') {
			fenced.set(id, (command as {readonly term: number}).term);
		}

		if (id === 'x' && clock.now() >= losesFenceAtMs) {
			fenced.delete(id);
		}

		const leads = orders.includes(id);
		return {
			role: leads ? 'primary' : 'replica', term: leads ? 2 : 1, received: {term: 1, position: id === 'x' ? 9 : 8}, fencedTerm: fenced.get(id) ?? 0, lagMs: 0, busy: 0, connections: 0,
		};
	};

	const endpoints = ['x', 'y'].map(id => ({entry: {id, leaving: false}, pool: {sendCommand: async (command: EndpointCommand) => ask(id, command)}}));
	let record: Record<string, unknown> = BEFORE;
	const parts = {
		clock,
		elapsedClock: {elapsed: () => clock.now()},
		log: createSilentLog(),
		hostName: 'entry-1',
		ownPeerAddress: 'entry-1:7000',
		directory: {list: () => endpoints, get: (id: string) => endpoints.find(({entry}) => entry.id === id)},
		failoverLease: {
			take: async () => true, getToken: () => 1, giveOrder: async (_ms: number, give: (token: number) => Promise<OrderOutcome>) => give(1), getOtherHolder: () => undefined,
		},
		primaryLeases: {pause: () => undefined, revoke: () => undefined},
		primaryWork: {drain: async () => undefined},
		unresponsiveHosts: {mark: async () => undefined, sweep: async () => undefined},
		storeRestores: {mayLackHosts: () => false, getLostHosts: () => []},
		mirror: {
			confirm: async () => true,
			state: {
				revision: 4,
				hosts: [{name: 'entry-2', peerAddress: 'entry-2:7000', gone: true}],
				leadership: {get: () => record},
			},
		},
		store: {
			async putRecord(_kind: string, {value}: {readonly value: Record<string, unknown>}) {
				record = {...value, version: 4};
				return {version: 4};
			},
		},
		peers: {call: async () => ({revoked: true})},
		orders: {
			async promote({endpointId}: {readonly endpointId: string}) {
				orders.push(endpointId);
				return 'accepted';
			},
		},
		onReplaced: () => undefined,
	} as unknown as ReplacePrimaryParts;
	return {clock, parts, orders};
}

/**
 * A host that was not reached may use the primary for as long as no endpoint reports a fence to it. An endpoint that restarts has lost its fence, so
 * that host may have renewed its lease after the wait began: if such an endpoint were promoted, two primaries would be in use at once.
 */
describe('candidates that have lost their fence', () => {
	function doTest(name: string, losesFenceAtMs: number, expected: string) {
		it(name, async () => {
			const {clock, parts, orders} = createParts(losesFenceAtMs);
			expect(await clock.runUntil(replacePrimary(parts, {group: 'nights', reason: 'a test', planned: false}))).to.equal(true);
			expect(orders).to.deep.equal([expected]);
		});
	}

	doTest('the endpoint with the further log is promoted if it kept its fence during the wait', Number.POSITIVE_INFINITY, 'x');
	doTest('it is left out if it restarted during the wait', 1000, 'y');

	it('an endpoint that is primary already needs no fence', async () => {
		const {clock, parts} = createParts(0);
		const [x, y] = await clock.runUntil(gatherCandidates(parts, 'nights', {kind: 'fence', term: 2}));
		const leading = {...x!, status: {...x!.status, role: 'primary' as const}};
		const kept = await clock.runUntil(keepFenced(parts, [leading, y!], BEFORE));
		expect(kept.map(({endpointId}) => endpointId)).to.deep.equal(['x', 'y']);
	});
});
