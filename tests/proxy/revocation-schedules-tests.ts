import {expect} from 'chai';
import {playRevocation} from './play-revocation.js';

const SEEDS = 24;

describe('keys that are revoked while hosts are cut off', () => {
	for (let seed = 1; seed <= SEEDS; seed++) {
		it(`let nothing run later than the bound, nor in another name: seed ${seed}`, async () => {
			const {ranTooLate, ranForOther, ran} = await playRevocation(seed);
			expect(ranTooLate).to.deep.equal([]);
			expect(ranForOther).to.deep.equal([]);
			expect(ran).to.be.at.least(20);
		});
	}
});
