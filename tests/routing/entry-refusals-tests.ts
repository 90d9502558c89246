import {expect} from 'chai';
import {refuseUnknownGroup} from '../../src/routing/entry-refusals.js';

/** Guards against a group that was just added and is called unknown by a host that the store no longer answers. */
describe('the refusal of a group that a host does not know', () => {
	function doTest(what: string, loaded: boolean, silenceMs: number, expected: string) {
		it(what, () => {
			const configuration = {loaded, revision: 7, getStoreSilenceMs: (now: number) => now - (1000 - silenceMs)};
			expect(refuseUnknownGroup('filings', configuration, 1000).code).to.equal(expected);
		});
	}

	doTest('says that it is unknown where the store has answered lately', true, 6000, 'unknown-group');
	doTest('says that the host cannot tell where the store has been silent for longer than a change may take', true, 6001, 'no-configuration');
	doTest('says that the host has no configuration before the first', false, Number.POSITIVE_INFINITY, 'no-configuration');
});
