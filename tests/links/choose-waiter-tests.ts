import {expect} from 'chai';
import {chooseWaiter, type Waiter} from '../../src/links/choose-waiter.js';

type Row = readonly [name: string, workspace: string | undefined, priority: number, since: number];

describe('the waiter that gets a released connection', () => {
	function doTest(name: string, workspace: string | undefined, rows: readonly Row[], expected: string | undefined, inUse: Readonly<Record<string, number>> = {}) {
		it(name, () => {
			const waiters = rows.map(([waiter, waiterWorkspace, priority, since], order): Waiter & {readonly waiter: string} => ({
				waiter, workspace: waiterWorkspace, priority, since, order, until: 5000, values: new Map(), single: true, resolve: () => undefined,
			}));
			const chosen = chooseWaiter(waiters, workspace, other => inUse[other ?? ''] ?? 0, 1000);
			expect(chosen && (chosen as typeof waiters[number]).waiter).to.equal(expected);
		});
	}

	doTest('is none where nobody waits', 'north', [], undefined);
	doTest('is the first of the same workspace', 'north', [['a', 'north', 1, 990], ['b', 'north', 1, 991]], 'a');
	doTest('is the first where there are no workspaces', undefined, [['a', undefined, 1, 900], ['b', undefined, 1, 991]], 'a');
	doTest('is of the connection\'s workspace where a waiter of another one has just come', 'north', [['a', 'south', 1, 990], ['b', 'north', 1, 995]], 'b');
	doTest('is none where no waiter of the connection\'s workspace is left', 'north', [['a', 'south', 1, 990]], undefined);
	// A busy workspace would reuse its connections for its own waiters, and others would never get one.
	doTest('is none once the waiter whose turn it is has been bypassed for too long', 'north', [['a', 'south', 1, 935], ['b', 'north', 1, 995]], undefined);
	doTest('is of the workspace that uses fewer connections', 'north', [['a', 'south', 1, 900], ['b', 'north', 1, 995]], 'b', {south: 3, north: 2});
	doTest('is of the higher priority rather than of the workspace that uses fewer connections', 'north', [['a', 'south', 1, 900], ['b', 'north', 0, 995]], 'b', {north: 3});
	doTest('is none of a lower priority', 'north', [['a', 'south', 0, 990], ['b', 'north', 1, 995]], undefined);
});
