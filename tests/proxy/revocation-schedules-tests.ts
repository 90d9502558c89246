import {expect} from 'chai';
import {playRevocation} from './play-revocation.js';

const SEEDS = 24;

describe('keys that are revoked while hosts are cut off', () => {
	for (let seed = 1; seed <= SEEDS; seed++) {
		it(`run nothing later than the bound, nor for another workspace: seed ${seed}`, async () => {
			const {ranTooLate, ranForOther, ran} = await playRevocation(seed);
			expect(ranTooLate).to.deep.equal([]);
			expect(ranForOther).to.deep.equal([]);
			expect(ran).to.be.at.least(20);
		});
	}
});
