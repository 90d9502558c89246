import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {expect} from 'chai';

/** Names of the platform's protocols that no other folder may use. Stand-ins simulate the platform and are excluded. */
const PLATFORM_NAMES = /STARTUP|DATAROW|STEPDOWN|NOSUCHSTMT|CONNLIMIT|INDOUBT|WRONGNODE|ALDERCROFT_BOOT|X-Aldercroft-|maxStalenessMs|coldRemainingMs|storeRevision|modRevision|txIdleMs|dbRole/v;

describe('the platform\'s names', () => {
	it('are used only in src/platform, which translates them', () => {
		const files = readdirSync('src', {recursive: true, encoding: 'utf8'})
			.filter(file => file.endsWith('.ts') && !file.startsWith(`platform${path.sep}`) && !file.startsWith(`stand-ins${path.sep}`));
		const found = files.filter(file => PLATFORM_NAMES.test(readFileSync(path.join('src', file), 'utf8')));
		expect(found).to.deep.equal([]);
	});
});
