import {expect} from 'chai';
import {createTokenIssuer} from '../../src/workspaces/token-issuer.js';

const LIMIT = {ratePerSecond: 40, burst: 40};

/** Tokens that a workspace has when it is first met: a quarter of a second's, and four. */
const FIRST = 14;

const ask = (needed: number, more = {}) => ({
	workspace: 'north', limit: LIMIT, needed, spent: 0, ahead: 0, ...more,
});

describe('the issuer of tokens', () => {
	it('begins with a part of a burst', () => {
		expect(createTokenIssuer({getLimit: () => LIMIT}).grant(ask(40), 0).tokens).to.equal(FIRST);
	});

	it('says when to come back, each a turn later than the one before', () => {
		const issuer = createTokenIssuer({getLimit: () => LIMIT});
		issuer.grant(ask(FIRST), 0);
		const times = [1, 2, 3].map(() => issuer.grant(ask(1), 0).retryAfterMs);
		expect(times).to.deep.equal([25, 50, 75]);
	});

	it('issues tokens ahead only from the top of a burst', () => {
		const issuer = createTokenIssuer({getLimit: () => LIMIT});
		issuer.grant(ask(0), 0);
		expect(issuer.grant(ask(1, {ahead: 16}), 400).tokens).to.equal(1);
		expect(issuer.grant(ask(1, {ahead: 16}), 10_000).tokens).to.equal(5);
	});

	it('says that the limit is far while half of a burst is left', () => {
		const issuer = createTokenIssuer({getLimit: () => LIMIT});
		issuer.grant(ask(0), 0);
		expect([issuer.grant(ask(20), 10_000).isFar, issuer.grant(ask(1), 10_000).isFar]).to.deep.equal([true, false]);
	});

	it('charges what was spent, also below nothing', () => {
		const issuer = createTokenIssuer({getLimit: () => LIMIT});
		issuer.grant(ask(FIRST), 0);
		issuer.grant(ask(0, {spent: 8}), 0);
		expect(issuer.grant(ask(1), 150).tokens).to.equal(0);
		expect(issuer.grant(ask(1), 400).tokens).to.equal(1);
	});

	it('takes the limit in force before the one that it is told', () => {
		const issuer = createTokenIssuer({getLimit: () => ({ratePerSecond: 4, burst: 4})});
		expect(issuer.grant(ask(40), 0).tokens).to.equal(4);
	});

	it('takes the limit that it is told for a workspace that it does not know', () => {
		expect(createTokenIssuer({getLimit: () => undefined}).grant(ask(40), 0).tokens).to.equal(FIRST);
	});

	it('issues nothing at a rate of nothing', () => {
		const none = {ratePerSecond: 0, burst: 0};
		const {tokens, retryAfterMs} = createTokenIssuer({getLimit: () => none}).grant(ask(1, {limit: none}), 0);
		expect(tokens).to.equal(0);
		expect(Number.isFinite(retryAfterMs)).to.equal(true);
	});
});
