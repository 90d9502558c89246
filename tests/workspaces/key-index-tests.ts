import {expect} from 'chai';
import {createKeyIndex, getFingerprint} from '../../src/workspaces/key-index.js';

describe('key index', () => {
	function doTest(name: string, workspaces: ReadonlyArray<readonly [string, readonly string[]]>, key: string, expected: string | undefined) {
		it(name, () => {
			const index = createKeyIndex(workspaces.map(([workspace, keys]) => ({name: workspace, keys, priority: 0})));
			expect(index.getWorkspace(getFingerprint(key))?.name).to.equal(expected);
		});
	}

	doTest('finds a workspace by its key', [['north', ['k1', 'k2']], ['south', ['k3']]], 'k2', 'north');
	doTest('finds nothing by an unknown key', [['north', ['k1']]], 'k', undefined);
	doTest('finds nothing by an empty key', [['north', ['k1']]], '', undefined);
	doTest('accepts a key that is listed twice in one workspace', [['north', ['k1', 'k1']]], 'k1', 'north');
	doTest('finds nothing by a key that two workspaces have', [['north', ['k1']], ['south', ['k1']]], 'k1', undefined);
	doTest('finds nothing by a key that three workspaces have', [['north', ['k1']], ['south', ['k1']], ['west', ['k1']]], 'k1', undefined);

	it('holds ten thousand workspaces', () => {
		const index = createKeyIndex(Array.from({length: 10_000}, (_, i) => ({name: `w${i}`, keys: [`k${i}`], priority: 0})));
		expect(index.getWorkspace(getFingerprint('k9999'))?.name).to.equal('w9999');
	});
});
