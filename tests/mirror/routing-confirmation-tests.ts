import {expect} from 'chai';
import {createRoutingConfirmation, type RoutingConfirmation} from '../../src/mirror/routing-confirmation.js';

describe('the confirmation of a configuration', () => {
	function doTest(name: string, play: (confirmation: RoutingConfirmation) => void, expected: number | undefined) {
		it(name, () => {
			const confirmation = createRoutingConfirmation();
			play(confirmation);
			expect(confirmation.confirmedAt).to.equal(expected);
		});
	}

	doTest('is none before the store was read', () => undefined, undefined);
	doTest('is the last one of the store', confirmation => {
		confirmation.noteConfirmed(100, 3);
		confirmation.noteConfirmed(800, 3);
		confirmation.noteConfirmed(700, 3);
	}, 800);
	doTest('stays that of before a return until the operator has had time to write again', confirmation => {
		confirmation.noteConfirmed(100, 3);
		confirmation.noteRestore(3);
		confirmation.noteConfirmed(3000, 3);
		confirmation.noteConfirmed(4900, 3);
	}, 100);
	doTest('is taken again after that time', confirmation => {
		confirmation.noteConfirmed(100, 3);
		confirmation.noteRestore(3);
		confirmation.noteConfirmed(3000, 3);
		confirmation.noteConfirmed(5000, 3);
	}, 5000);
	doTest('is taken again with a version above the one that was held', confirmation => {
		confirmation.noteConfirmed(100, 3);
		confirmation.noteRestore(3);
		confirmation.noteConfirmed(3000, 3);
		confirmation.noteConfirmed(3700, 5);
		confirmation.noteConfirmed(4400, 5);
	}, 4400);
	doTest('waits anew where the store comes back once more', confirmation => {
		confirmation.noteRestore(3);
		confirmation.noteConfirmed(3000, 3);
		confirmation.noteRestore(3);
		confirmation.noteConfirmed(5100, 3);
	}, undefined);
});
