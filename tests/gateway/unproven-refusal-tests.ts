import {expect} from 'chai';
import {getUnprovenRefusal} from '../../src/gateway/unproven-refusal.js';

const REASON = 'no server that responds is known to hold every acknowledged commit; waiting for';

describe('the refusal of work at a group without a provable successor', () => {
	function doTest(name: string, record: Parameters<typeof getUnprovenRefusal>[0], expected: string | undefined) {
		it(name, () => {
			expect(getUnprovenRefusal(record)?.reason).to.equal(expected);
		});
	}

	doTest('names the servers that are awaited', {phase: 'changing', awaited: ['p', 'x']}, `${REASON} p or x`);
	doTest('says so where none of the known ones is', {phase: 'changing', awaited: []}, `${REASON} a server that is not registered`);
	doTest('does not come while a change has not asked yet', {phase: 'changing'}, undefined);
	doTest('does not come where the group is steady', {phase: 'steady', awaited: ['p']}, undefined);
	doTest('does not come without a record', undefined, undefined);
});
