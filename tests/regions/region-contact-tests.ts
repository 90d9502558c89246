import {expect} from 'chai';
import {createRegionContact} from '../../src/regions/region-contact.js';

describe('the contact with another region', () => {
	function doTest(name: string, silences: ReadonlyArray<readonly [target: string, isProof: boolean]>, now: number, expected: boolean) {
		it(name, () => {
			const contact = createRegionContact();
			contact.noteAnswer(0);
			for (const [target, isProof] of silences) {
				contact.noteSilence(target, isProof, 1000);
			}

			expect(contact.isLost(now)).to.equal(expected);
		});
	}

	doTest('is lost where two hosts do not answer', [['a', true], ['b', true]], 1100, true);
	// One host may be down; its callers would be refused although the rest of its region serves them.
	doTest('is not lost where one host does not answer', [['a', true], ['a', true]], 1100, false);
	// Full endpoints let statements time out, while the hosts beside them answer.
	doTest('is not lost where only statements time out', [['a', false], ['b', false]], 1100, false);
	doTest('is not lost within a second of an answer', [['a', true], ['b', true]], 900, false);
	doTest('is not lost long after the last call', [['a', true], ['b', true]], 9000, false);

	it('is back with the first answer', () => {
		const contact = createRegionContact();
		contact.noteSilence('a', true, 0);
		contact.noteSilence('b', true, 0);
		expect(contact.isLost(2000)).to.equal(true);
		contact.noteAnswer(2000);
		expect(contact.isLost(4000)).to.equal(false);
	});
});
