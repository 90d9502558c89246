import {expect} from 'chai';
import type {ScheduledRequest} from '../../src/scheduling/scheduled-request.js';
import {UrgencyOrder} from '../../src/scheduling/urgency-order.js';

const NOW = 1000;
const LEAST_SHARE = 0.1;

/** Creates a waiting request from `LEVEL WORKSPACE START-BY`, with an optional `/WEIGHT` of the workspace. */
function parse(text: string, order: number): ScheduledRequest {
	const [level, workspace, startBy] = text.split(' ');
	const [name, weight] = workspace!.split('/');
	return {
		request: {
			priority: Number(level), workspace: name, weight: weight === undefined ? undefined : Number(weight), startBy: startBy === undefined ? undefined : Number(startBy),
			until: NOW + 1000, values: new Map(), single: true,
		},
		order, since: NOW, serviceMs: 10, modelWaitMs: 0, predictedWaitMs: 0, correctionClass: 0, places: 1, resolve() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	};
}

/** Serves all requests, each for 10 ms, after the workspaces have used slot time, and returns the order in which they started. */
function serve(texts: readonly string[], used: Readonly<Record<string, number>>) {
	const order = new UrgencyOrder(LEAST_SHARE);
	const waiting = new Set(texts.map((text, i) => parse(text, i)));
	for (const [workspace, ms] of Object.entries(used)) {
		order.complete(order.charge(parse(`9 ${workspace}`, 0), ms, NOW), ms, NOW);
	}

	const served: string[] = [];
	for (const {request} of waiting) {
		order.noteLevel(request.priority);
	}

	for (let next = order.getNext(waiting, NOW, () => true); next; next = order.getNext(waiting, NOW, () => true)) {
		waiting.delete(next);
		order.complete(order.charge(next, 10, NOW), 10, NOW);
		served.push(texts[next.order]!);
	}

	return served.join(', ');
}

describe('the order by urgency', () => {
	const doTest = (title: string, texts: readonly string[], expected: string, used: Readonly<Record<string, number>> = {}) => {
		it(title, () => {
			expect(serve(texts, used)).to.equal(expected);
		});
	};

	doTest('starts the most urgent level first', ['2 a 1100', '0 a 1300', '1 a 1200'], '0 a 1300, 1 a 1200, 2 a 1100');
	doTest('starts those of one workspace by their latest start', ['1 a 1300', '1 a 1100', '1 a 1200'], '1 a 1100, 1 a 1200, 1 a 1300');
	doTest('starts those that can be in time before those that cannot', ['1 a 900', '1 b 1300'], '1 b 1300, 1 a 900', {b: 500});
	doTest('starts those without a target last within their workspace', ['1 a', '1 a 1300'], '1 a 1300, 1 a');
	doTest('starts the workspace that has used the least slot time first', ['1 a 1100', '1 b 1300'], '1 b 1300, 1 a 1100', {a: 50, b: 20});
	doTest('serves workspaces in turn', ['1 a 1100', '1 a 1110', '1 a 1120', '1 b 1300', '1 b 1310'], '1 a 1100, 1 b 1300, 1 a 1110, 1 b 1310, 1 a 1120');
	doTest('counts slot time by the weight of the workspace', ['1 a/0.5 1100', '1 a/0.5 1110', '1 b 1300', '1 b 1310', '1 b 1320'], '1 a/0.5 1100, 1 b 1300, 1 b 1310, 1 a/0.5 1110, 1 b 1320');

	/** Urgent requests arrive without a pause at twice what the endpoint can run. Without a share of the slot time, a less urgent one would wait until its deadline. */
	it('lets each waiting level have its least share of the slot time', () => {
		const order = new UrgencyOrder(LEAST_SHARE);
		const used = [0, 0, 0];
		const waiting = [0, 1, 2].map(level => parse(`${level} a`, level));
		for (const {request} of waiting) {
			order.noteLevel(request.priority);
		}

		for (let round = 0; round < 2000; round++) {
			const next = order.getNext(waiting, NOW, () => true)!;
			order.complete(order.charge(next, 10, NOW), 10, NOW);
			used[next.request.priority]! += 1 / 2000;
		}

		expect(used.map(share => share.toFixed(2))).to.deep.equal(['0.80', '0.10', '0.10']);
	});

	/** A workspace used much slot time during a surge. A second later it must not be kept behind others any more. */
	it('forgets slot time with a time constant of 1 s', () => {
		const order = new UrgencyOrder(LEAST_SHARE);
		order.complete(order.charge(parse('1 a', 0), 100, NOW), 100, NOW);
		expect(order.getUsedMs('a', NOW + 1000)).to.be.closeTo(100 / Math.E, 0.01);
		order.complete(order.charge(parse('1 a', 0), 100, NOW + 300_000), 100, NOW + 300_000);
		expect(order.getUsedMs('a', NOW + 300_000)).to.be.closeTo(100, 0.01);
	});

	/** Opening a connection costs a slot as a statement does, so a few statements of other workspaces may go first; the one whose turn it is must not wait long for them. */
	it('lets others use their idle connections first only for a while, and only where there is time', () => {
		const order = new UrgencyOrder(LEAST_SHARE);
		const next = parse('1 a 1500', 0);
		const late = parse('1 a 1015', 0);
		const other = parse('1 b 1500', 1);
		expect(order.mayBypass(other, next, 12, NOW + 50)).to.equal(true);
		expect(order.mayBypass(other, next, 12, NOW + 70)).to.equal(false);
		expect(order.mayBypass(other, late, 12, NOW)).to.equal(false);
		expect(order.mayBypass(parse('2 b 1500', 1), next, 12, NOW)).to.equal(false);
	});
});
