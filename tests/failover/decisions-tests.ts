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

	doTest('takes the furthest log', [['a', 1, 5], ['b', 1, 6]], {}, 'b');
	doTest('takes the later term before the longer tail', [['a', 1, 900], ['b', 2, 6]], {}, 'b');
	doTest('takes a drained server rather than lose an entry', [['a', 1, 5], ['b', 1, 6, EndpointOrder.Drain, true]], {preferred: 'a'}, 'b');
	doTest('passes over a drained server of equal log', [['a', 1, 5, EndpointOrder.Drain], ['b', 1, 5]], {}, 'b');
	doTest('passes over a stopped server of equal log', [['a', 1, 5, EndpointOrder.Stop], ['b', 1, 5]], {}, 'b');
	doTest('passes over a server that says it is leaving', [['a', 1, 5, EndpointOrder.Serve, true], ['b', 1, 5]], {}, 'b');
	doTest('passes over a server whose host is leaving', [['a', 1, 5], ['b', 1, 5]], {leavingHost: 'a'}, 'b');
	doTest('passes over the suspect of equal log', [['a', 1, 5], ['b', 1, 5]], {suspect: 'a'}, 'b');
	doTest('takes the wanted server of equal log', [['a', 1, 5], ['b', 1, 5]], {preferred: 'b'}, 'b');
});

describe('failure detector', () => {
	/** When a question is answered (positive) or refused (negative), in milliseconds; undefined: never. */
	type Ending = number | undefined;

	const doTest = (title: string, kept: Ending, fresh: Ending, expected: ProbeResult, expectedMs: number) => {
		it(title, async () => {
			const clock = createVirtualClock();
			const startedAt = clock.now();
			const ask = (ending: Ending) => async (timeoutMs: number) => {
				await clock.sleep(Math.min(timeoutMs, Math.abs(ending ?? Infinity)));
				if (ending === undefined || ending < 0 || ending > timeoutMs) {
					throw new Error('no answer');
				}
			};

			const result = detectFailure({
				clock, settings: DEFAULT_FAILOVER_SETTINGS, freshProbeDelayMs: 100, silenceMs: 600, probeOpen: ask(kept), probeFresh: ask(fresh),
			});
			expect(await clock.runUntil(result)).to.equal(expected);
			expect(clock.now() - startedAt).to.equal(expectedMs);
		});
	};

	const {Answered, Refused, Silent} = ProbeResult;
	doTest('takes the answer of a healthy server', 3, undefined, Answered, 3);
	doTest('takes the answer of a server that was paused for long', 520, undefined, Answered, 520);
	doTest('takes the answer on a fresh connection where the old one is silent', undefined, 16, Answered, 116);
	doTest('takes the answer on a fresh connection where the old one is cut', -1, 16, Answered, 17);
	doTest('waits to the end for a silent server', undefined, undefined, Silent, 700);
	doTest('waits to the end for a server that is silent and then refuses', undefined, -3, Silent, 700);
	doTest('waits to the end for a server that resets and then is silent', -1, undefined, Silent, 601);
	doTest('is done sooner with a server that refuses', -1, -3, Refused, 133);
});

describe('stall detector', () => {
	type Look = [at: number, primary: number, ...replicas: number[]];

	const doTest = (title: string, looks: Look[], now: number, expected: number | undefined) => {
		it(title, () => {
			const detector = createStallDetector(DEFAULT_FAILOVER_SETTINGS);
			for (const [at, primary, ...replicas] of looks) {
				detector.record({primary: createStatus(1, primary), replicas: replicas.map(position => createStatus(1, position)), majority: 2}, at);
			}

			expect(detector.getCutOffSince(now)).to.equal(expected);
		});
	};

	doTest('finds nothing while a majority holds all', [[0, 5, 5, 5], [5000, 5, 5, 1]], 9000, undefined);
	doTest('finds a primary that nobody follows', [[0, 5, 5, 5], [1000, 6, 5, 5], [2000, 6, 5, 5]], 3000, 1000);
	doTest('has patience', [[0, 5, 5, 5], [1000, 6, 5, 5], [2000, 6, 5, 5]], 2900, undefined);
	doTest('finds nothing while a replica moves', [[0, 5, 5, 5], [1000, 9, 5, 5], [2500, 9, 6, 5]], 3500, undefined);
	doTest('has four times the patience of the slowest catch-up', [[0, 5, 5, 5], [1000, 6, 5, 5], [2500, 6, 6, 6], [3000, 7, 6, 6]], 8000, undefined);
	doTest('has the longest patience where it saw no catch-up yet', [[0, 6, 5, 5]], 9000, undefined);
	doTest('finds nothing where no other majority answers', [[0, 5, 5, 5], [1000, 6, 5]], 9000, undefined);

	it('tells when its patience will end', () => {
		const detector = createStallDetector(DEFAULT_FAILOVER_SETTINGS);
		const note = (position: number, now: number) => {
			detector.record({primary: createStatus(1, position), replicas: [createStatus(1, 5), createStatus(1, 5)], majority: 2}, now);
			return detector.getMsUntilCutOff(now);
		};

		expect([note(5, 0), note(6, 1000), note(6, 2500), note(6, 4000)]).to.deep.equal([Infinity, 2000, 500, 0]);
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

	doTest('takes an answer, however late, for a sign of life', 900, false, ProbeResult.Answered);
	doTest('tells a refusal by its coming early', 20, true, ProbeResult.Refused);
	doTest('tells silence by the whole time passing', 300, true, ProbeResult.Silent);
	doTest('tells a pause of its own process by the timeout coming late', 351, true, ProbeResult.Paused);
});

describe('fence', () => {
	type Server = [granted: boolean, term: number];

	const doTest = (title: string, servers: Array<Server | undefined>, expected: string, pauseMs = 0) => {
		it(title, async () => {
			const clock = createVirtualClock();
			// A pause shows as a wait that ends long after its time.
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

	doTest('takes a majority of grants', [[true, 2], [true, 2], undefined], '2 granted');
	doTest('takes no refusal for a grant', [[true, 2], [false, 2], undefined], 'term 2 was passed: a server has promised 2');
	doTest('takes no minority', [[true, 2], undefined, undefined], '1 of the group\'s servers granted the term, 2 are needed');
	// A promoter sleeps with a majority of grants in its sockets; meanwhile another one raises a primary. Woken, it would
	// raise a second one at a server that the later promoter did not reach.
	doTest('is given up after a pause', [[true, 2], [true, 2], undefined], 'the promoter of term 2 was paused and stops', 1500);
});
