import {expect} from 'chai';
import {gatherProvenSuccessors} from '../../src/leadership/proven-successors.js';
import type {LeadershipRecord} from '../../src/leadership/leadership-record.js';
import type {ReplacePrimaryParts} from '../../src/leadership/replace-parts.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import type {Versioned} from '../../src/mirror/mirror-state.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const MEMBERS = ['p', 'x', 'y'];

const CHANGING: Versioned<LeadershipRecord> = {
	group: 'nights',
	primaryId: 'p',
	term: 1,
	epoch: 2,
	phase: 'changing',
	start: {term: 1, position: 0},
	changedBy: 'entry-1',
	version: 7,
	replicaSet: {syncReplicas: 1, members: MEMBERS.map(endpointId => ({endpointId, address: `${endpointId}:1`}))},
};

type Setup = {
	/** Positions of the endpoints that respond. */
	readonly positions: Readonly<Record<string, number>>;
	/** Id that the store lists in place of `x` after the responses: a later incarnation, which responded under the earlier id. */
	readonly followsX?: string;
	readonly exceeded?: number;
	readonly acknowledgedEnd?: number;
	readonly required?: number;
	/** Host that has changed the record meanwhile. */
	readonly changedBy?: string;
};

/** Gathers for a second; returns the ids of the proven endpoints, and those whose response is awaited as the record names them. */
async function gather({positions, followsX, exceeded, acknowledgedEnd, required, changedBy = 'entry-1'}: Setup) {
	const clock = createVirtualClock();
	const getPosition = (position: number | undefined) => position === undefined ? undefined : {term: 1, position};
	let endpoints = Object.keys(positions);
	let record: Versioned<LeadershipRecord> = {...CHANGING, changedBy, required: getPosition(required)};
	const getEndpoint = (id: string) => ({
		entry: {id, address: `${id}:1`, leaving: false},
		pool: {
			sendCommand: async () => ({
				role: 'replica', term: 1, received: {term: 1, position: positions[id] ?? 0}, fencedTerm: 2, lagMs: 0, busy: 0, connections: 0,
			}),
		},
	});
	const parts = {
		clock,
		log: createSilentLog(),
		directory: {
			list: () => endpoints.map(id => getEndpoint(id)),
			get: (id: string) => endpoints.includes(id) ? getEndpoint(id) : undefined,
			update: () => undefined,
		},
		mirror: {
			async confirm() {
				endpoints = followsX === undefined ? endpoints : endpoints.map(id => id === 'x' ? followsX : id);
				return true;
			},
			state: {
				revision: 9, hosts: [], routing: {groups: new Map([['nights', {name: 'nights', maxConnections: 9, syncReplicas: 1}]])}, leadership: {get: () => record},
			},
		},
		store: {
			async putRecord(_kind: string, {value}: {readonly value: LeadershipRecord}) {
				record = {...value, version: record.version + 1};
				return {version: record.version};
			},
		},
	} as unknown as ReplacePrimaryParts;
	const proven = await clock.runUntil(gatherProvenSuccessors(parts, {
		changing: CHANGING, before: {...CHANGING, phase: 'steady'}, unfenced: new Set(), exceeded: getPosition(exceeded), acknowledgedEnd: getPosition(acknowledgedEnd),
	}, clock.now() + 1000));
	return {proven: proven?.candidates.map(({endpointId}) => endpointId), awaited: record.awaited};
}

describe('successors that are proven to hold every acknowledged commit', () => {
	function doTest(name: string, setup: Setup, expected: Awaited<ReturnType<typeof gather>>) {
		it(name, async () => {
			expect(await gather(setup)).to.deep.equal(expected);
		});
	}

	doTest('are those with the highest log where both replicas respond', {positions: {x: 9, y: 5}}, {proven: ['x'], awaited: undefined});
	doTest('are awaited where one of them does not', {positions: {y: 5}}, {proven: undefined, awaited: ['p', 'x']});
	doTest('are not proven by a response under the id of an earlier incarnation', {positions: {x: 9, y: 5}, followsX: 'x@2'}, {proven: undefined, awaited: ['p', 'x']});
	doTest('need no second response where the hosts know the end of what they acknowledged', {positions: {y: 5}, acknowledgedEnd: 5}, {proven: ['y'], awaited: undefined});
	doTest('must hold that end', {positions: {y: 5}, acknowledgedEnd: 6}, {proven: undefined, awaited: ['p', 'x']});
	doTest('need no second response where an earlier attempt found the position', {positions: {y: 5}, required: 5}, {proven: ['y'], awaited: undefined});
	doTest('must reach a position that a host knows to be exceeded', {positions: {x: 9, y: 5}, exceeded: 10}, {proven: undefined, awaited: ['p']});
	doTest('are left to the host that has changed the record meanwhile', {positions: {x: 9, y: 5}, changedBy: 'entry-2'}, {proven: undefined, awaited: undefined});
});
