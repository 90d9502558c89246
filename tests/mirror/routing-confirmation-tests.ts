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

	doTest('is undefined before the store was read', () => undefined, undefined);
	doTest('is the latest one by the store', confirmation => {
		confirmation.noteConfirmed(100, 3);
		confirmation.noteConfirmed(800, 3);
		confirmation.noteConfirmed(700, 3);
	}, 800);
	doTest('stays as of before a store restore until the operator has had time to write again', confirmation => {
		confirmation.noteConfirmed(100, 3);
		confirmation.noteRestore(3);
		confirmation.noteConfirmed(3000, 3);
		confirmation.noteConfirmed(4900, 3);
	}, 100);
	doTest('advances again after that time', confirmation => {
		confirmation.noteConfirmed(100, 3);
		confirmation.noteRestore(3);
		confirmation.noteConfirmed(3000, 3);
		confirmation.noteConfirmed(5000, 3);
	}, 5000);
	doTest('advances again with a version above the one that was held', confirmation => {
		confirmation.noteConfirmed(100, 3);
		confirmation.noteRestore(3);
		confirmation.noteConfirmed(3000, 3);
		confirmation.noteConfirmed(3700, 5);
		confirmation.noteConfirmed(4400, 5);
	}, 4400);
	doTest('waits again after another store restore', confirmation => {
		confirmation.noteRestore(3);
		confirmation.noteConfirmed(3000, 3);
		confirmation.noteRestore(3);
		confirmation.noteConfirmed(5100, 3);
	}, undefined);
});
