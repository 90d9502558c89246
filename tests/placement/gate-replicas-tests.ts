import {expect} from 'chai';
import type {EndpointLink, LinkListener} from '../../src/links/endpoint-link.js';
import {gateReplicas} from '../../src/placement/gate-replicas.js';
import {createReplicaAdmission} from '../../src/placement/replica-admission.js';
import {createReplicaProgress} from '../../src/placement/replica-progress.js';
import {SessionState} from '../../src/statements/statement.js';
import {AnswerCode, type EndpointAnswer} from '../../src/statements/statement-answer.js';
import {holdsLogPosition} from '../../src/terms/log-position.js';

const at = (position: number, term = 1) => ({term, position});

describe('catch-up of a replica by its rate', () => {
	function doTest(name: string, reports: ReadonlyArray<readonly [number, number]>, now: number, floor: number, expected: number | undefined) {
		it(name, () => {
			const progress = createReplicaProgress();
			for (const [reportedAt, position] of reports) {
				progress.note(reportedAt, at(position));
			}

			expect(progress.predict(now, at(floor))).to.equal(expected);
		});
	}

	doTest('is unknown before the first report', [], 0, 5, undefined);
	doTest('is 0 for a replica that holds the floor', [[0, 5]], 0, 5, 0);
	doTest('is unknown by a single report', [[0, 5]], 0, 6, undefined);
	doTest('follows the rate of the replica', [[0, 0], [200, 20]], 200, 50, 300);
	doTest('counts the time since the last report', [[0, 0], [200, 20]], 350, 50, 150);
	// Guards against a stopped replica that is taken for one with a constant lag: each wait for it would be in vain.
	doTest('is infinite for a replica that has stopped', [[0, 20], [200, 20]], 200, 21, Number.POSITIVE_INFINITY);
	doTest('uses the newest reports only', [[0, 0], [1000, 0], [1200, 40]], 1200, 60, 100);

	it('is unknown across a change of the term, where positions do not compare', () => {
		const progress = createReplicaProgress();
		progress.note(0, at(10));
		progress.note(200, at(30));
		expect(progress.predict(200, at(40, 2))).to.equal(undefined);
	});
});

describe('a link to a replica that lags', () => {
	/** Opens a gated link to a replica that applies one entry in 10 ms, `lagMs` behind the time. */
	const openGated = async () => {
		const state = {now: 10_000, lagMs: 0, sent: 0};
		const getHeld = () => at(Math.floor((state.now - state.lagMs) / 10));
		const link: Partial<EndpointLink> = {
			pending: 0,
			closed: false,
			async exchange({floor}): Promise<EndpointAnswer> {
				state.sent++;
				const held = getHeld();
				const isBehind = floor !== undefined && !holdsLogPosition(held, floor);
				return {
					rows: [], end: isBehind ? {kind: 'error', code: AnswerCode.Lagging, text: ''} : {kind: 'complete'}, state: SessionState.Idle, position: held,
				};
			},
		};
		const opener = gateReplicas({open: async () => link as EndpointLink}, {elapsed: () => state.now});
		const gated = await opener.open({address: '', group: 'g', endpointId: 'r'}, 100, {} as LinkListener);
		const read = async (floor: number) => {
			const {end, reachedInMs} = await gated.exchange({command: {kind: 'run', text: 'READ a'}, floor: at(floor)});
			return end.kind === 'error' ? {code: end.code, reachedInMs} : 'done';
		};

		return {state, read};
	};

	// Each try of a lagging replica takes a slot of it, and hundreds of hosts try.
	it('sends one read in 50 ms, refuses the others as lagging, and says when the floor is reached', async () => {
		const {state, read} = await openGated();
		state.lagMs = 3000;
		for (let i = 0; i < 400; i++) {
			await read(900);
			state.now++;
		}

		expect(state.sent).to.be.within(7, 9);
		expect(await read(900)).to.deep.include({code: AnswerCode.Lagging});
		expect(await read(900).then(answer => typeof answer === 'object' ? answer.reachedInMs : 0)).to.be.closeTo(1600, 120);
	});

	// An overload is to end within a second of its cause.
	it('lets reads pass within 50 ms after the lag has ended', async () => {
		const {state, read} = await openGated();
		state.lagMs = 3000;
		await read(900);
		state.lagMs = 0;
		state.now += 50;
		expect(await read(900)).to.equal('done');
		expect(await read(900)).to.equal('done');
	});

	it('never refuses a read whose floor the replica reported to hold', async () => {
		const {state, read} = await openGated();
		expect(await read(1000)).to.equal('done');
		state.lagMs = 3000;
		expect(await read(1000)).to.deep.include({code: AnswerCode.Lagging});
		expect(await read(700)).to.equal('done');
	});
});

describe('admission of reads to a replica', () => {
	it('makes no attempt before the predicted time, and returns the error of the prediction', () => {
		const admission = createReplicaAdmission();
		admission.noteLagging(1000, at(50), 300);
		expect(admission.predict(1100, at(50))).to.deep.equal({catchUpMs: 200, isTrial: false});
		expect(admission.predict(1300, at(50))).to.deep.equal({catchUpMs: 0, isTrial: true});
		expect(admission.note(1340, at(51))).to.equal(40);
		expect(admission.closed).to.equal(false);
	});

	it('tries a replica without a prediction with single reads', () => {
		const admission = createReplicaAdmission();
		admission.noteLagging(1000, at(50), undefined);
		expect(admission.predict(1099, at(60))).to.deep.equal({catchUpMs: Number.POSITIVE_INFINITY, isTrial: false});
		expect(admission.predict(1100, at(60)).isTrial).to.equal(true);
		admission.noteTrial(1100);
		expect(admission.predict(1101, at(60)).isTrial).to.equal(false);
	});

	// Guards against a replica that has just caught up and gets the reads of all hosts at once.
	it('doubles the share of a replica that has passed the floor every 100 ms', () => {
		const admission = createReplicaAdmission();
		admission.noteLagging(1000, at(50), undefined);
		admission.note(2000, at(50));
		expect([2000, 2100, 2200, 2300, 2400].map(now => admission.getShare(now))).to.deep.equal([0.125, 0.25, 0.5, 1, 1]);
	});
});
