import {expect} from 'chai';
import {EndpointRole, type EndpointStatus} from '../../src/endpoints/endpoint.js';
import {throwNoAnswer} from '../../src/endpoints/endpoint-errors.js';
import {chooseCandidate} from '../../src/failover/choose-candidate.js';
import {DEFAULT_FAILOVER_SETTINGS} from '../../src/failover/failover-settings.js';
import {detectFailure} from '../../src/failover/failure-detector.js';
import {fenceGroup} from '../../src/failover/fence-group.js';
import type {GroupControl} from '../../src/failover/group-control.js';
import {probe, ProbeResult} from '../../src/failover/probe.js';
import {createStallDetector} from '../../src/failover/stall-detector.js';
import {EndpointOrder, groupConfigSchema} from '../../src/groups/group-config.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

function createStatus(term: number, position: number, leaving = false): EndpointStatus {
	return {
		term: 9, log: {term, position}, role: EndpointRole.Replica, leaving,
	};
}

describe('choice of the candidate', () => {
	type Server = [name: string, term: number, position: number, order?: EndpointOrder, leaving?: boolean];

	const doTest = (title: string, servers: Server[], preference: {preferred?: string; suspect?: string; leavingHost?: string}, expected: string) => {
		it(title, () => {
			const fenced = servers.map(([name, term, position, order = EndpointOrder.Serve, leaving = false]) => ({
				endpoint: {
					name, address: `${name}:1`, availabilityZone: 'druzhba', connections: 1, slots: 1, order,
				},
				status: createStatus(term, position, leaving),
			}));
			const isHostLeaving = (address: string) => address === `${preference.leavingHost}:1`;
			expect(chooseCandidate(fenced, {...preference, isHostLeaving})?.endpoint.name).to.equal(expected);
		});
	};

	doTest('takes the highest log', [['a', 1, 5], ['b', 1, 6]], {}, 'b');
	doTest('takes the log of a later term before a longer one of an earlier term', [['a', 1, 900], ['b', 2, 6]], {}, 'b');
	doTest('takes a drained server rather than losing an entry', [['a', 1, 5], ['b', 1, 6, EndpointOrder.Drain, true]], {preferred: 'a'}, 'b');
	doTest('skips a drained server of equal log', [['a', 1, 5, EndpointOrder.Drain], ['b', 1, 5]], {}, 'b');
	doTest('skips a stopped server of equal log', [['a', 1, 5, EndpointOrder.Stop], ['b', 1, 5]], {}, 'b');
	doTest('skips a server that reports that it is leaving', [['a', 1, 5, EndpointOrder.Serve, true], ['b', 1, 5]], {}, 'b');
	doTest('skips a server whose host is leaving', [['a', 1, 5], ['b', 1, 5]], {leavingHost: 'a'}, 'b');
	doTest('skips the suspect of equal log', [['a', 1, 5], ['b', 1, 5]], {suspect: 'a'}, 'b');
	doTest('takes the preferred server of equal log', [['a', 1, 5], ['b', 1, 5]], {preferred: 'b'}, 'b');
});

describe('failure detector', () => {
	/** Time until a probe is answered (positive) or refused (negative), in milliseconds; undefined: never. */
	type ProbeEnd = number | undefined;

	const doTest = (title: string, open: ProbeEnd, fresh: ProbeEnd, expected: ProbeResult, expectedMs: number) => {
		it(title, async () => {
			const clock = createVirtualClock();
			const startedAt = clock.now();
			const ask = (end: ProbeEnd) => async (timeoutMs: number) => {
				await clock.sleep(Math.min(timeoutMs, Math.abs(end ?? Infinity)));
				if (end === undefined || end < 0 || end > timeoutMs) {
					throw new Error('no answer');
				}
			};

			const result = detectFailure({
				clock, settings: DEFAULT_FAILOVER_SETTINGS, freshProbeDelayMs: 100, silenceMs: 600, probeOpen: ask(open), probeFresh: ask(fresh),
			});
			expect(await clock.runUntil(result)).to.equal(expected);
			expect(clock.now() - startedAt).to.equal(expectedMs);
		});
	};

	const {Answered, Refused, Silent} = ProbeResult;
	doTest('takes the answer of a healthy server', 3, undefined, Answered, 3);
	doTest('takes the answer of a server after a long pause', 520, undefined, Answered, 520);
	doTest('takes the answer on a fresh connection where the old one is silent', undefined, 16, Answered, 116);
	doTest('takes the answer on a fresh connection where the old one is cut', -1, 16, Answered, 17);
	doTest('waits the whole time for a silent server', undefined, undefined, Silent, 700);
	doTest('waits the whole time for a server that is silent and then refuses', undefined, -3, Silent, 700);
	doTest('waits the whole time for a server that resets and then is silent', -1, undefined, Silent, 601);
	doTest('ends earlier for a server that refuses', -1, -3, Refused, 133);
});

describe('stall detector', () => {
	type Poll = [at: number, primary: number, ...replicas: number[]];

	const doTest = (title: string, polls: Poll[], now: number, expected: number | undefined) => {
		it(title, () => {
			const detector = createStallDetector(DEFAULT_FAILOVER_SETTINGS);
			for (const [at, primary, ...replicas] of polls) {
				detector.record({primary: createStatus(1, primary), replicas: replicas.map(position => createStatus(1, position)), majority: 2}, at);
			}

			expect(detector.getCutOffSince(now)).to.equal(expected);
		});
	};

	doTest('detects nothing while a majority holds all entries', [[0, 5, 5, 5], [5000, 5, 5, 1]], 9000, undefined);
	doTest('detects a primary that no replica follows', [[0, 5, 5, 5], [1000, 6, 5, 5], [2000, 6, 5, 5]], 3000, 1000);
	doTest('detects nothing before the minimum timeout', [[0, 5, 5, 5], [1000, 6, 5, 5], [2000, 6, 5, 5]], 2900, undefined);
	doTest('detects nothing while a replica advances', [[0, 5, 5, 5], [1000, 9, 5, 5], [2500, 9, 6, 5]], 3500, undefined);
	doTest('waits four times as long as the slowest catch-up took', [[0, 5, 5, 5], [1000, 6, 5, 5], [2500, 6, 6, 6], [3000, 7, 6, 6]], 8000, undefined);
	doTest('waits longest where it has seen no catch-up yet', [[0, 6, 5, 5]], 9000, undefined);
	doTest('detects nothing where no majority answers without the primary', [[0, 5, 5, 5], [1000, 6, 5]], 9000, undefined);

	it('returns the time until the primary counts as cut off', () => {
		const detector = createStallDetector(DEFAULT_FAILOVER_SETTINGS);
		const record = (position: number, now: number) => {
			detector.record({primary: createStatus(1, position), replicas: [createStatus(1, 5), createStatus(1, 5)], majority: 2}, now);
			return detector.getMsUntilCutOff(now);
		};

		expect([record(5, 0), record(6, 1000), record(6, 2500), record(6, 4000)]).to.deep.equal([Infinity, 2000, 500, 0]);
	});
});

describe('probe', () => {
	const doTest = (title: string, tookMs: number, fails: boolean, expected: ProbeResult) => {
		it(title, async () => {
			const clock = createVirtualClock();
			const result = probe({
				clock, timeoutMs: 300, pauseSlackMs: 50, async exchange() {
					await clock.sleep(tookMs);
					if (fails) {
						throw new Error('no answer');
					}
				},
			});
			expect(await clock.runUntil(result)).to.equal(expected);
		});
	};

	doTest('counts an answer as such however late it comes', 900, false, ProbeResult.Answered);
	doTest('recognizes a refusal by its early failure', 20, true, ProbeResult.Refused);
	doTest('recognizes silence by a failure at the timeout', 300, true, ProbeResult.Silent);
	doTest('recognizes a pause of its own process by a late timeout', 351, true, ProbeResult.Paused);
});

describe('fence', () => {
	type Server = [granted: boolean, term: number];

	const doTest = (title: string, servers: Array<Server | undefined>, expected: string, pauseMs = 0) => {
		it(title, async () => {
			const clock = createVirtualClock();
			// A pause makes a sleep end long after it was due.
			let pausedMs = 0;
			const pausingClock = {
				...clock, now: () => clock.now() + pausedMs, async sleep(ms: number, signal?: AbortSignal) {
					await clock.sleep(ms, signal);
					pausedMs = pauseMs;
				},
			};
			const cfg = groupConfigSchema.parse({
				name: 'filings', endpoints: servers.map((_, i) => ({
					name: `db-${i}`, address: `${i}:1`, availabilityZone: 'druzhba', connections: 1, slots: 1,
				})),
			});
			const control = {
				async fence(endpoint: string) {
					const [granted, term] = servers[Number(endpoint.slice(3))] ?? throwNoAnswer(endpoint, 'fence');
					return {granted, status: {...createStatus(1, 1), term}};
				},
			} as unknown as GroupControl;
			const fencing = fenceGroup({
				clock: pausingClock, control, cfg, settings: DEFAULT_FAILOVER_SETTINGS, term: 2,
			});
			const outcome = fencing.then(fenced => `${fenced.length} granted`, (err: unknown) => (err as Error).message);
			expect(await clock.runUntil(outcome)).to.equal(expected);
		});
	};

	doTest('succeeds with a majority of grants', [[true, 2], [true, 2], undefined], '2 granted');
	doTest('does not count a refusal as a grant', [[true, 2], [false, 2], undefined], 'term 2 was passed: a server has promised 2');
	doTest('fails with a minority of grants', [[true, 2], undefined, undefined], '1 of the group\'s servers granted the term, 2 are needed');
	// A promoter is paused with a majority of grants in its sockets while another host promotes a primary. When it resumes,
	// it would promote a second one at a server that the other host did not reach.
	doTest('fails after a pause', [[true, 2], [true, 2], undefined], 'the promoter of term 2 was paused and stops', 1500);
});
