import {expect} from 'chai';
import {decodeRouting} from '../../src/platform/store-schemas.js';
import {decodeWorkspaces} from '../../src/platform/workspace-schema.js';

const GOOD = {
	name: 'north', apiKeys: ['k1', 'k2'], priority: 1, ratePerS: 122, burst: 60,
};

function decode(entries: readonly unknown[]) {
	const unusable: unknown[] = [];
	const workspaces = decodeWorkspaces(entries, entry => unusable.push(entry));
	return {names: [...workspaces.keys()], workspaces, unusable};
}

describe('the workspaces of a configuration', () => {
	it('are decoded by name', () => {
		expect([...decode([GOOD]).workspaces.values()]).to.deep.equal([{
			name: 'north', keys: ['k1', 'k2'], priority: 1, limit: {ratePerSecond: 122, burst: 60},
		}]);
	});

	function doTest(name: string, entry: unknown, isUsable: boolean) {
		it(`${isUsable ? 'include' : 'omit'} ${name}, and keep the others`, () => {
			const {names, unusable} = decode([entry, {...GOOD, name: 'other'}]);
			expect(names).to.deep.equal(isUsable ? ['north', 'other'] : ['other']);
			expect(unusable).to.have.length(isUsable ? 0 : 1);
		});
	}

	doTest('one without a rate', {...GOOD, ratePerS: undefined, burst: undefined}, true);
	doTest('a rate of zero', {...GOOD, ratePerS: 0, burst: 0}, true);
	doTest('a fractional rate', {...GOOD, ratePerS: 0.5}, true);
	doTest('one without keys', {...GOOD, apiKeys: []}, true);
	doTest('a negative rate', {...GOOD, ratePerS: -1}, false);
	doTest('a rate that is not a number', {...GOOD, ratePerS: 'many'}, false);
	doTest('a key with a blank', {...GOOD, apiKeys: ['k 1']}, false);
	doTest('an empty key', {...GOOD, apiKeys: ['']}, false);
	doTest('a name with a blank', {...GOOD, name: 'north south'}, false);
	doTest('one without a name', {...GOOD, name: undefined}, false);
	doTest('an entry that is not an object', 'north', false);

	it('include only the first of two with the same name', () => {
		const {workspaces, unusable} = decode([GOOD, {...GOOD, apiKeys: ['k3']}]);
		expect(workspaces.get('north')?.keys).to.deep.equal(['k1', 'k2']);
		expect(unusable).to.have.length(1);
	});

	it('are reported without their keys when they are omitted', () => {
		expect(JSON.stringify(decode([{...GOOD, ratePerS: -1}]).unusable)).to.not.match(/k1|k2/v);
	});

	function doRouteTest(name: string, tenants: unknown, allowAnonymous: boolean | undefined, needsKey: boolean) {
		it(name, () => {
			const routing = decodeRouting({
				revision: 1, routes: [{
					name: 'r', host: 'sync', type: 'primary', timeoutMs: 800, backend: 'g', allowAnonymous,
				}], backends: [], tenants, limits: {},
			}, () => undefined);
			expect(routing?.routes.get('sync')?.needsKey).to.equal(needsKey);
		});
	}

	doRouteTest('require no key on any route if the configuration has none', undefined, undefined, false);
	doRouteTest('require a key on routes by default', [GOOD], undefined, true);
	doRouteTest('require a key on routes that do not allow anonymous callers', [GOOD], false, true);
	doRouteTest('require no key on routes that allow anonymous callers', [GOOD], true, false);
	doRouteTest('require a key even if no workspace can be decoded', [{}], false, true);
});
