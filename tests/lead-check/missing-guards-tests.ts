import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {MISSING_GUARDS} from './missing-guards.js';

describe('guards that can be removed', () => {
	for (const {name, changes} of MISSING_GUARDS) {
		it(`occurs exactly once in its source: ${name}`, () => {
			for (const {file, from} of changes) {
				expect(readFileSync(file, 'utf8').split(from)).to.have.lengthOf(2, `${file}: ${from}`);
			}
		});
	}
});
