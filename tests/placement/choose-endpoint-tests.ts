import {expect} from 'chai';
import {chooseEndpoint, type ReadCandidate} from '../../src/placement/choose-endpoint.js';

function make(endpointId: string, changes: Partial<ReadCandidate> = {}): ReadCandidate {
	return {
		endpointId, isPrimary: false, sameZone: false, load: 0, slots: 3, serviceMs: 24, catchUpMs: 0, ...changes,
	};
}

describe('choice of an endpoint for a read', () => {
	function doTest(name: string, candidates: readonly ReadCandidate[], expected: string | undefined) {
		it(name, () => {
			expect(chooseEndpoint(candidates)?.endpointId).to.equal(expected);
		});
	}

	doTest('is empty without candidates', [], undefined);
	doTest('prefers a replica to the primary', [make('p', {isPrimary: true}), make('r')], 'r');
	doTest('prefers the host\'s own zone', [make('far'), make('near', {sameZone: true})], 'near');
	doTest('prefers the own zone with a queue of seven', [make('far'), make('near', {sameZone: true, load: 7})], 'near');
	doTest('prefers another zone to a queue of eight', [make('far'), make('near', {sameZone: true, load: 8})], 'far');
	doTest('prefers another zone to a queue of eleven where statements are short', [make('far', {serviceMs: 3}), make('near', {serviceMs: 3, sameZone: true, load: 11})], 'far');
	doTest('avoids a slow endpoint', [make('slow', {serviceMs: 120}), make('usual')], 'usual');
	doTest('prefers a replica with a queue of 17 to the primary', [make('p', {isPrimary: true}), make('r', {load: 17})], 'r');
	doTest('prefers the primary to an overloaded replica', [make('p', {isPrimary: true}), make('r', {load: 19})], 'p');
	doTest('takes the penalties from the fastest candidate, not from a slow replica', [make('p', {isPrimary: true}), make('slow', {serviceMs: 240, load: 3}), make('r', {load: 19})], 'p');
	doTest('avoids a replica that has to catch up', [make('lags', {catchUpMs: 100}), make('r', {load: 4})], 'r');
	doTest('prefers a replica that catches up soon to an overloaded one', [make('lags', {catchUpMs: 20}), make('r', {load: 6})], 'lags');
	doTest('is the primary where all replicas lag too far', [make('lags', {catchUpMs: 260}), make('p', {isPrimary: true, load: 30})], 'p');
	doTest('is empty where all replicas lag too far and no primary is known', [make('lags', {catchUpMs: 260})], undefined);
});
