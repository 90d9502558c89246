import {expect} from 'chai';
import type {EndpointConnection, EndpointStatus} from '../../src/endpoints/endpoint.js';
import {createConfirmer, isHolding} from '../../src/owners/confirmer.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const createStatus = (term: number, logTerm: number, position: number): EndpointStatus => ({
	term, log: {term: logTerm, position}, role: 'replica', leaving: false,
});

describe('confirmer', () => {
	describe('isHolding', () => {
		const doTest = (promised: number, logTerm: number, position: number, holds: boolean) => {
			it(`promised ${promised}, log (${logTerm}, ${position}) ${holds ? 'holds' : 'does not hold'} entry (2, 7)`, () => {
				expect(isHolding(createStatus(promised, logTerm, position), 2, 7)).to.equal(holds);
			});
		};

		doTest(2, 2, 7, true);
		doTest(2, 2, 8, true);
		doTest(2, 2, 6, false);
		// A fenced server whose log has a long divergent tail of an older term.
		doTest(2, 1, 900, false);
		// A server that has promised a higher term does not confirm an entry of a lower one.
		doTest(3, 2, 7, false);
		doTest(3, 3, 9, false);
	});

	describe('confirm', () => {
		const doTest = (title: string, statuses: Record<string, EndpointStatus[]>, expected: string) => {
			it(`${title}: ${expected}`, async () => {
				const clock = createVirtualClock();
				const requestCounts: Record<string, number> = {};
				const confirmer = createConfirmer({
					clock,
					getEndpoints: () => ['e1', 'e2', 'e3'],
					getChannel: name => ({
						async run(exchange) {
							const connection = {
								async waitFor() {
									await clock.sleep(10);
									const requestIndex = requestCounts[name] ?? 0;
									requestCounts[name] = requestIndex + 1;
									const status = statuses[name]?.[Math.min(requestIndex, statuses[name].length - 1)];
									return status ?? Promise.reject(new Error('no answer'));
								},
							};
							return exchange(connection as unknown as EndpointConnection);
						},
						async close() {}, // eslint-disable-line @typescript-eslint/no-empty-function
					}),
					onStatus() {}, // eslint-disable-line @typescript-eslint/no-empty-function
					onFailure() {}, // eslint-disable-line @typescript-eslint/no-empty-function
				});
				const end = await clock.runUntil(confirmer.confirm({
					term: 2, position: 7, reportedBy: 'e1', status: createStatus(2, 2, 7), deadlineAt: clock.now() + 1000,
				}));
				confirmer.stop();
				expect(end).to.equal(expected);
			});
		};

		doTest('one replica catches up', {e2: [createStatus(2, 2, 6), createStatus(2, 2, 7)]}, 'confirmed');
		doTest('all replicas are silent', {}, 'timed-out');
		doTest('a majority has promised a higher term', {e2: [createStatus(3, 2, 6)], e3: [createStatus(3, 1, 9)]}, 'superseded');
		doTest('one server has promised a higher term', {e2: [createStatus(3, 2, 6)]}, 'timed-out');
		doTest('one replica has a divergent tail and the other is silent', {e3: [createStatus(2, 1, 900)]}, 'timed-out');
	});
});
