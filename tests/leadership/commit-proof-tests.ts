import {expect} from 'chai';
import fc from 'fast-check';
import {proveCommits, type LogReport} from '../../src/leadership/commit-proof.js';
import type {ReplicaSetMember} from '../../src/leadership/replica-set.js';

const getMember = (endpointId: string, leaving?: true): ReplicaSetMember => ({endpointId, address: `${endpointId}:1`, ...(leaving && {leaving})});

const getReport = (endpointId: string, position: number, address = `${endpointId}:1`): LogReport => ({endpointId, address, received: {term: 1, position}});

describe('what reports prove about acknowledged commits', () => {
	function doTest(name: string, {members, syncReplicas = 1, reports, required, missing}: {
		readonly members: readonly ReplicaSetMember[];
		readonly syncReplicas?: number;
		readonly reports: readonly LogReport[];
		readonly required?: number;
		readonly missing: readonly string[];
	}) {
		it(name, () => {
			const proof = proveCommits({members, syncReplicas}, reports);
			expect(proof.required?.position).to.equal(required);
			expect(proof.missing).to.deep.equal(missing);
		});
	}

	const three = ['p', 'x', 'y'].map(id => getMember(id));
	doTest('nothing, where one of two replicas has not reported', {members: three, reports: [getReport('y', 5)], missing: ['p', 'x']});
	doTest('the higher position of both replicas covers them', {
		members: three, reports: [getReport('x', 9), getReport('y', 5)], required: 9, missing: ['p'],
	});
	doTest('the primary and one replica are enough', {
		members: three, reports: [getReport('p', 12), getReport('y', 5)], required: 12, missing: ['x'],
	});
	doTest('where all report, the commits of the primary alone were not acknowledged', {
		members: three, reports: [getReport('p', 12), getReport('x', 9), getReport('y', 5)], required: 9, missing: [],
	});
	doTest('an endpoint that restarted without its log does not stand for its earlier incarnation', {
		members: [...three, getMember('x@2')], reports: [getReport('x@2', 0), getReport('y', 5)], missing: ['p', 'x'],
	});
	doTest('an endpoint that was leaving is represented by the one at its address', {
		members: [getMember('p'), getMember('x', true), getMember('y'), getMember('z')], reports: [getReport('z', 9, 'x:1'), getReport('y', 5)], required: 9, missing: ['p'],
	});
	doTest('one that was not leaving is not', {
		members: [getMember('p'), getMember('x'), getMember('y'), getMember('z')], reports: [getReport('z', 9, 'x:1'), getReport('y', 5)], missing: ['p', 'x'],
	});
	doTest('with two replicas that confirm, two members may be missing', {
		members: ['p', 'w', 'x', 'y'].map(id => getMember(id)), syncReplicas: 2, reports: [getReport('x', 9), getReport('y', 5)], required: 9, missing: ['p', 'w'],
	});
	doTest('nothing, where nobody reports', {members: [getMember('p')], reports: [], missing: ['p']});

	it('covers each commit that the primary and enough replicas hold, whichever members report', () => {
		fc.assert(fc.property(
			fc.array(fc.record({position: fc.nat({max: 20}), reports: fc.boolean()}), {minLength: 1, maxLength: 7}),
			fc.integer({min: 1, max: 4}),
			(logs, syncReplicas) => {
				const acknowledged = logs.map(({position}) => position).toSorted((left, right) => right - left)[syncReplicas] ?? 0;
				const reports = logs.flatMap(({position, reports}, i) => reports ? [getReport(`e${i}`, position)] : []);
				const {required} = proveCommits({members: logs.map((_, i) => getMember(`e${i}`)), syncReplicas}, reports);
				return required === undefined || required.position >= acknowledged;
			},
		));
	});
});
