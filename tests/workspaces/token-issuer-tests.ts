import {expect} from 'chai';
import {createTokenIssuer} from '../../src/workspaces/token-issuer.js';

const LIMIT = {ratePerSecond: 40, burst: 40};

/** Tokens in the initial bucket of a workspace: those of a quarter of a second, and four. */
const INITIAL_TOKENS = 14;

const createRequest = (needed: number, more = {}) => ({
	workspace: 'north', limit: LIMIT, needed, spent: 0, ahead: 0, ...more,
});

describe('token issuer', () => {
	it('starts with a part of a burst', () => {
		expect(createTokenIssuer({getLimit: () => LIMIT}).grant(createRequest(40), 0).tokens).to.equal(INITIAL_TOKENS);
	});

	it('gives retry delays that are one token interval apart', () => {
		const issuer = createTokenIssuer({getLimit: () => LIMIT});
		issuer.grant(createRequest(INITIAL_TOKENS), 0);
		const times = [1, 2, 3].map(() => issuer.grant(createRequest(1), 0).retryAfterMs);
		expect(times).to.deep.equal([25, 50, 75]);
	});

	it('grants tokens in advance only from the top of a burst', () => {
		const issuer = createTokenIssuer({getLimit: () => LIMIT});
		issuer.grant(createRequest(0), 0);
		expect(issuer.grant(createRequest(1, {ahead: 16}), 400).tokens).to.equal(1);
		expect(issuer.grant(createRequest(1, {ahead: 16}), 10_000).tokens).to.equal(5);
	});

	it('reports a use far below the limit while half of a burst is left', () => {
		const issuer = createTokenIssuer({getLimit: () => LIMIT});
		issuer.grant(createRequest(0), 0);
		expect([issuer.grant(createRequest(20), 10_000).isFar, issuer.grant(createRequest(1), 10_000).isFar]).to.deep.equal([true, false]);
	});

	it('charges operations that were already started, also below zero', () => {
		const issuer = createTokenIssuer({getLimit: () => LIMIT});
		issuer.grant(createRequest(INITIAL_TOKENS), 0);
		issuer.grant(createRequest(0, {spent: 8}), 0);
		expect(issuer.grant(createRequest(1), 150).tokens).to.equal(0);
		expect(issuer.grant(createRequest(1), 400).tokens).to.equal(1);
	});

	it('prefers the limit in force to the one in the request', () => {
		const issuer = createTokenIssuer({getLimit: () => ({ratePerSecond: 4, burst: 4})});
		expect(issuer.grant(createRequest(40), 0).tokens).to.equal(4);
	});

	it('applies the limit in the request to a workspace that it does not know', () => {
		expect(createTokenIssuer({getLimit: () => undefined}).grant(createRequest(40), 0).tokens).to.equal(INITIAL_TOKENS);
	});

	it('grants nothing at a rate of zero', () => {
		const none = {ratePerSecond: 0, burst: 0};
		const {tokens, retryAfterMs} = createTokenIssuer({getLimit: () => none}).grant(createRequest(1, {limit: none}), 0);
		expect(tokens).to.equal(0);
		expect(Number.isFinite(retryAfterMs)).to.equal(true);
	});
});
