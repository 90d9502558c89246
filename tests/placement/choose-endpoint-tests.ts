import {expect} from 'chai';
import {chooseEndpoint, type ReadCandidate} from '../../src/placement/choose-endpoint.js';

const NOW = 1000;
const FLOOR = {term: 2, position: 50};

function make(endpointId: string, changes: Partial<ReadCandidate> = {}): ReadCandidate {
	return {
		endpointId, isPrimary: false, sameZone: false, load: 0, slots: 3, serviceMs: 24, laggingUntil: 0, ...changes,
	};
}

describe('choosing an endpoint for a read', () => {
	function doTest(name: string, candidates: readonly ReadCandidate[], expected: string | undefined) {
		it(name, () => {
			expect(chooseEndpoint(candidates, FLOOR, NOW)?.endpointId).to.equal(expected);
		});
	}

	doTest('there is none', [], undefined);
	doTest('a replica goes before the primary', [make('p', {isPrimary: true}), make('r')], 'r');
	doTest('the host\'s own zone goes first', [make('far'), make('near', {sameZone: true})], 'near');
	doTest('a long queue outweighs the zone', [make('far'), make('near', {sameZone: true, load: 3})], 'far');
	doTest('a slow endpoint is passed over', [make('slow', {serviceMs: 120}), make('usual')], 'usual');
	doTest('the primary helps out where replicas are overrun', [make('p', {isPrimary: true}), make('r', {load: 6})], 'p');
	doTest('one that lags is passed over', [make('lags', {laggingUntil: NOW + 1}), make('r', {load: 4})], 'r');
	doTest('one that lagged until now is tried again', [make('lagged', {laggingUntil: NOW}), make('r', {load: 4})], 'lagged');
	doTest('one that was seen to hold the floor does not lag for it', [make('lags', {laggingUntil: NOW + 1, held: FLOOR}), make('r', {load: 4})], 'lags');
	doTest('where all lag the primary serves', [make('lags', {laggingUntil: NOW + 1}), make('p', {isPrimary: true})], 'p');
	doTest('where all lag and no primary is known nobody serves', [make('lags', {laggingUntil: NOW + 1})], undefined);
});
