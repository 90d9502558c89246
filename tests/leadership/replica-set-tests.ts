import {expect} from 'chai';
import {extendReplicaSet, getDepartedMembers, type ReplicaSet} from '../../src/leadership/replica-set.js';

const getListed = (id: string, leaving = false) => ({id, address: `${id}:1`, leaving});

const KNOWN: ReplicaSet = {syncReplicas: 1, members: [{endpointId: 'p', address: 'p:1'}, {endpointId: 'x', address: 'x:1'}]};

describe('the endpoints that may have confirmed commits', () => {
	it('are the listed ones and the primary at first', () => {
		expect(extendReplicaSet(undefined, {primaryId: 'p', listed: [getListed('x')], syncReplicas: 2})).to.deep.equal({
			syncReplicas: 2, members: [{endpointId: 'x', address: 'x:1'}, {endpointId: 'p', address: ''}],
		});
	});

	it('stay the same where nothing has changed', () => {
		expect(extendReplicaSet(KNOWN, {primaryId: 'p', listed: [getListed('x'), getListed('p')], syncReplicas: 1})).to.equal(KNOWN);
	});

	it('include those that are no longer listed', () => {
		const extended = extendReplicaSet(KNOWN, {primaryId: 'p', listed: [getListed('y')], syncReplicas: 1});
		expect(extended.members.map(({endpointId}) => endpointId)).to.deep.equal(['p', 'x', 'y']);
		expect(getDepartedMembers(extended, [getListed('y')], 'p').map(({endpointId}) => endpointId)).to.deep.equal(['x']);
	});

	it('are noted as leaving once they have announced it, and stay so', () => {
		const leaving = extendReplicaSet(KNOWN, {primaryId: 'p', listed: [getListed('x', true)], syncReplicas: 1});
		expect(leaving.members[1]).to.deep.equal({endpointId: 'x', address: 'x:1', leaving: true});
		expect(extendReplicaSet(leaving, {primaryId: 'p', listed: [getListed('x')], syncReplicas: 1})).to.equal(leaving);
	});

	function doTest(name: string, known: number, configured: number, expected: number) {
		it(name, () => {
			expect(extendReplicaSet({...KNOWN, syncReplicas: known}, {primaryId: 'p', listed: [], syncReplicas: configured}).syncReplicas).to.equal(expected);
		});
	}

	doTest('count with a number of replicas that was lowered', 2, 1, 1);
	doTest('do not count with one that was raised: earlier commits waited for fewer', 1, 2, 1);
});
