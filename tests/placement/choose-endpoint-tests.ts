import {expect} from 'chai';
import {chooseEndpoint, type ReadCandidate} from '../../src/placement/choose-endpoint.js';

function make(endpointId: string, changes: Partial<ReadCandidate> = {}): ReadCandidate {
	return {
		endpointId, isPrimary: false, sameZone: false, load: 0, slots: 3, serviceMs: 24, catchUpMs: 0, ...changes,
	};
}

describe('choosing an endpoint for a read', () => {
	function doTest(name: string, candidates: readonly ReadCandidate[], expected: string | undefined) {
		it(name, () => {
			expect(chooseEndpoint(candidates)?.endpointId).to.equal(expected);
		});
	}

	doTest('there is none', [], undefined);
	doTest('a replica goes before the primary', [make('p', {isPrimary: true}), make('r')], 'r');
	doTest('the host\'s own zone goes first', [make('far'), make('near', {sameZone: true})], 'near');
	doTest('a queue of seven does not outweigh the zone', [make('far'), make('near', {sameZone: true, load: 7})], 'near');
	doTest('a queue of eight outweighs the zone', [make('far'), make('near', {sameZone: true, load: 8})], 'far');
	doTest('the same queue does where statements are short', [make('far', {serviceMs: 3}), make('near', {serviceMs: 3, sameZone: true, load: 11})], 'far');
	doTest('a slow endpoint is passed over', [make('slow', {serviceMs: 120}), make('usual')], 'usual');
	doTest('a replica with a queue of 17 goes before the primary', [make('p', {isPrimary: true}), make('r', {load: 17})], 'r');
	doTest('the primary helps out where replicas are overrun', [make('p', {isPrimary: true}), make('r', {load: 19})], 'p');
	doTest('a slow replica does not lengthen what a queue counts', [make('p', {isPrimary: true}), make('slow', {serviceMs: 240, load: 3}), make('r', {load: 19})], 'p');
	doTest('one that has to catch up is passed over', [make('lags', {catchUpMs: 100}), make('r', {load: 4})], 'r');
	doTest('one that catches up soon is waited for where others are overrun', [make('lags', {catchUpMs: 20}), make('r', {load: 6})], 'lags');
	doTest('where all lag the primary serves', [make('lags', {catchUpMs: 260}), make('p', {isPrimary: true, load: 30})], 'p');
	doTest('where all lag far and no primary is known nobody serves', [make('lags', {catchUpMs: 260})], undefined);
});
