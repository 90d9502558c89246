import {expect} from 'chai';
import {rankSuccessors} from '../../src/leadership/choose-successor.js';
import {createSuccessorDistance} from '../../src/leadership/successor-distance.js';
import {createRoundTrips} from '../../src/regions/round-trips.js';
import {createTopology} from '../../src/regions/topology.js';

const TOPOLOGY = createTopology(new Map([['a', 'east'], ['b', 'east'], ['c', 'west'], ['d', 'west']]), 'a');
const getDistance = createSuccessorDistance({topology: TOPOLOGY, roundTrips: createRoundTrips(TOPOLOGY), getZone: endpointId => endpointId.split('-')[0]});

function make(endpointId: string, position = 9, leaving = false) {
	return {
		endpointId, leaving, status: {
			role: 'replica' as const, term: 1, received: {term: 1, position}, fencedTerm: 0, lagMs: 0, busy: 0, connections: 0,
		},
	};
}

describe('ranking successors by the place of the demand', () => {
	function doTest(name: string, demand: Readonly<Record<string, number>>, candidates: ReadonlyArray<ReturnType<typeof make>>, expected: readonly string[], former = 'a-1') {
		it(name, () => {
			const ranked = rankSuccessors(candidates, {primaryId: former, term: 1, phase: 'steady'}, id => getDistance(id, new Map(Object.entries(demand)), former, 0));
			expect(ranked.map(({endpointId}) => endpointId)).to.deep.equal(expected);
		});
	}

	const all = [make('d-2'), make('c-2'), make('b-2')];
	doTest('the zone with the demand comes first, then its region', {c: 10}, all, ['c-2', 'd-2', 'b-2']);
	doTest('the region with more demand comes before the other', {c: 4, d: 4, b: 7}, all, ['d-2', 'c-2', 'b-2']);
	doTest('without demand the zone of the former primary comes first, then its region', {}, [make('c-2'), make('b-2'), make('a-2')], ['a-2', 'b-2', 'c-2']);
	doTest('the same holds where all hosts state none', {a: 0, c: 0}, [make('c-2'), make('b-2')], ['b-2', 'c-2']);
	// A shorter log costs acknowledged commits, and a leaving endpoint a second change; a longer way costs milliseconds.
	doTest('a further log comes before the place', {c: 10}, [make('c-2', 8), make('b-2', 9)], ['b-2', 'c-2']);
	doTest('an endpoint that is not leaving comes before the place', {c: 10}, [make('c-2', 9, true), make('b-2')], ['b-2', 'c-2']);
});
