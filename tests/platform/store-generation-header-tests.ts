import {expect} from 'chai';
import {PlatformError} from '../../src/object-store/platform-errors.js';
import {getStoreGeneration} from '../../src/platform/store-generation-header.js';

describe('store generation header', () => {
	function doTest(header: string | undefined, expected: number) {
		it(`states generation ${expected} if it is ${JSON.stringify(header)}`, () => {
			expect(getStoreGeneration('list', {'store-era': header})).to.equal(expected);
		});
	}

	doTest(undefined, 0);
	doTest('0', 0);
	doTest('7', 7);

	function doFailureTest(header: string) {
		it(`is rejected with PlatformError if it is ${JSON.stringify(header)}`, () => {
			expect(() => getStoreGeneration('list', {'store-era': header})).to.throw(PlatformError);
		});
	}

	doFailureTest('');
	doFailureTest('-1');
	doFailureTest('1.5');
	doFailureTest('seven');
	doFailureTest('1, 2');
	doFailureTest('99999999999999999999');
});
