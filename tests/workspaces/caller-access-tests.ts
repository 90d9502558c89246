import {expect} from 'chai';
import {ReadPolicy, type Routing} from '../../src/routes/routing.js';
import {createCallerAccess} from '../../src/workspaces/caller-access.js';
import {getFingerprint} from '../../src/workspaces/key-index.js';

const ROUTING: Routing = {
	version: 1, routes: new Map(), groups: new Map(), idleTransactionMs: 3000, workspaces: new Map([['north', {name: 'north', keys: ['k1'], priority: 0}]]),
};

const ROUTE = {
	name: 'sync', database: 'sync', group: 'nights', policy: ReadPolicy.Primary, maxReadAgeMs: 0, statementTimeoutMs: 1000, targetLatencyMs: 200, priority: 1,
};

describe('caller access', () => {
	function doTest(name: string, {key, needsKey = true, confirmedAt = 1000, now = 1000, revokeWithinMs}: {
		readonly key: string; readonly needsKey?: boolean; readonly confirmedAt?: number; readonly now?: number; readonly revokeWithinMs?: number;
	}, expected: string) {
		it(name, () => {
			const access = createCallerAccess({getRoutingState: () => ({routing: ROUTING, routingConfirmedAt: confirmedAt}), revokeWithinMs});
			const decision = access.authorize(getFingerprint(key), {...ROUTE, needsKey}, now);
			expect(decision.allowed ? decision.workspace?.name ?? 'nobody' : decision.denial).to.equal(expected);
		});
	}

	doTest('is granted to a key of a workspace', {key: 'k1'}, 'north');
	doTest('is denied to an unknown key', {key: 'k2'}, 'unknown-key');
	doTest('is denied without a key', {key: ''}, 'unknown-key');
	doTest('needs no key on an open route', {key: 'k2', needsKey: false}, 'nobody');
	doTest('names the workspace on an open route too', {key: 'k1', needsKey: false}, 'north');
	doTest('does not end where revocation is not bounded', {key: 'k1', now: 60_000}, 'north');
	doTest('lasts until shortly before the revocation bound', {key: 'k1', now: 5900, revokeWithinMs: 5000}, 'north');
	// Guards against a host without the store that still accepts a key which has been revoked since.
	doTest('ends with the revocation bound', {key: 'k1', now: 6000, revokeWithinMs: 5000}, 'unverifiable');

	it('follows the configuration', () => {
		let routing = ROUTING;
		const access = createCallerAccess({getRoutingState: () => ({routing, routingConfirmedAt: 0})});
		expect(access.authorize(getFingerprint('k1'), {...ROUTE, needsKey: true}, 0).allowed).to.equal(true);
		routing = {...ROUTING, version: 2, workspaces: new Map()};
		expect(access.authorize(getFingerprint('k1'), {...ROUTE, needsKey: true}, 0).allowed).to.equal(false);
	});

	it('is denied where the store was never read', () => {
		const access = createCallerAccess({getRoutingState: () => ({routing: ROUTING}), revokeWithinMs: 5000});
		expect(access.authorize(getFingerprint('k1'), {...ROUTE, needsKey: true}, 0).allowed).to.equal(false);
	});
});
