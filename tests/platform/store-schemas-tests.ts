import {expect} from 'chai';
import {decodeRouting} from '../../src/platform/store-schemas.js';

describe('the read policy of a route', () => {
	/** Guards against policies that are named like a member of every object, which were taken for one without any of the known names. */
	function doTest(type: string, expected: string) {
		it(`is ${expected} for ${type}`, () => {
			const route = {
				name: 'r-1', host: 'sync', type, timeoutMs: 1000, backend: 'nights',
			};
			const routing = decodeRouting({
				revision: 7, routes: [route], backends: [{name: 'nights', maxConnections: 22}], limits: {},
			}, () => undefined);
			expect(routing?.routes.get('sync')?.policy).to.equal(expected);
		});
	}

	doTest('primary', 'primary');
	doTest('bounded', 'bounded');
	doTest('read_your_writes', 'own-writes');
	doTest('unheard-of', 'primary');
	doTest('constructor', 'primary');
	doTest('__proto__', 'primary');
	doTest('toString', 'primary');
});
