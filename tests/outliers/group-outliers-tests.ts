import {expect} from 'chai';
import {createGroupOutliers, ObservedOutcome, type OutlierChange} from '../../src/outliers/group-outliers.js';

const {Answered, Failed, Lost, Reset} = ObservedOutcome;

/** Slots of a primary and two replicas. */
const THREE: Readonly<Record<string, number>> = {p: 4, a: 4, b: 4};

/** A group with helpers that note answers. */
function makeGroup(slots = THREE) {
	const outliers = createGroupOutliers();
	const setMembers = (ids: readonly string[], now: number, primary = 'p') => {
		outliers.setMembers(ids.map(endpointId => ({endpointId, slots: slots[endpointId] ?? 4, isPrimary: endpointId === primary})), now);
	};

	setMembers(Object.keys(slots), 0);
	/** Notes `count` rounds in which each endpoint answers by its function; returns the changes. */
	const note = (count: number, now: number, answers: Readonly<Record<string, (i: number) => readonly [ObservedOutcome, number]>>) => {
		const changes: Array<OutlierChange & {readonly id: string}> = [];
		for (let i = 0; i < count; i++) {
			for (const [id, answer] of Object.entries(answers)) {
				const change = outliers.note(id, ...answer(i), now);
				if (change) {
					changes.push({...change, id});
				}
			}
		}

		return changes;
	};

	return {outliers, setMembers, note};
}

const good = () => [Answered, 1] as const;
const failing = (i: number) => i % 2 === 0 ? [Failed, 1] as const : [Answered, 1] as const;
const slow = () => [Answered, 4] as const;

/** Reads of an ejected endpoint, one after the other; returns how many it got. */
function answerTrials({outliers}: ReturnType<typeof makeGroup>, id: string, now: number, outcome: ObservedOutcome) {
	let trials = 0;
	while (outliers.getStanding(id, now).isTrial && trials < 10) {
		outliers.noteTrial(id, now);
		expect(outliers.getStanding(id, now).usable, 'a second trial at once').to.equal(false);
		trials++;
		outliers.note(id, outcome, 1, now);
	}

	return trials;
}

describe('ejection of endpoints from reads', () => {
	function doTest(name: string, answers: Parameters<ReturnType<typeof makeGroup>['note']>[2], expected: string) {
		it(name, () => {
			expect(makeGroup().note(40, 0, answers).map(change => change.kind === 'ejected' ? `${change.id} ${change.reason} ${change.forMs}` : '').join(', ')).to.equal(expected);
		});
	}

	doTest('takes one that fails half of its reads', {p: good, a: failing, b: good}, 'a errors 1000');
	doTest('takes one whose connections are reset', {p: good, a: i => i % 2 === 0 ? [Reset, 1] : [Answered, 1], b: good}, 'a errors 1000');
	doTest('takes one whose answers are lost', {p: good, a: () => [Lost, 1], b: good}, 'a errors 1000');
	doTest('takes one that is over three times as slow as its peers', {p: good, a: slow, b: good}, 'a slow 1000');
	doTest('leaves one with five errors in twenty answers', {p: good, a: i => i % 4 === 0 ? [Failed, 1] : [Answered, 1], b: good}, '');
	doTest('leaves one that is slow only for 3 in 100 statements', {p: good, a: i => [Answered, i % 33 === 0 ? 7 : 1], b: good}, '');
	// A cause that all endpoints share, such as a frozen host, says nothing about one of them.
	doTest('leaves all where all fail alike', {p: failing, a: failing, b: failing}, '');
	doTest('leaves all where all are slow alike', {p: slow, a: slow, b: slow}, '');
	doTest('never takes the primary', {p: failing, a: good, b: good}, '');

	it('takes no more than half of the slots', () => {
		const group = makeGroup({
			p: 4, a: 4, b: 4, c: 4,
		});
		const ejected = ['a', 'b', 'c'].map(id => group.note(40, 0, {
			p: good, a: good, b: good, c: good, [id]: failing,
		}).length);
		expect(ejected).to.deep.equal([1, 1, 0]);
	});

	it('leaves an endpoint that has more than half of the slots', () => {
		expect(makeGroup({p: 4, a: 10, b: 4}).note(40, 0, {p: good, a: failing, b: good})).to.deep.equal([]);
	});

	it('leaves the last usable endpoint', () => {
		const group = makeGroup({a: 4});
		expect(group.note(40, 0, {a: () => [Lost, 1]})).to.deep.equal([]);
		expect(group.outliers.getStanding('a', 0).usable).to.equal(true);
	});

	it('lasts 1 s, is followed by single reads, and doubles with each that fails, up to 16 s', () => {
		const group = makeGroup();
		group.note(40, 0, {p: good, a: failing, b: good});
		expect(group.outliers.getStanding('a', 999).usable).to.equal(false);
		let now = 0;
		for (const duration of [1000, 2000, 4000, 8000, 16_000, 16_000]) {
			now += duration;
			expect(group.outliers.getStanding('a', now - 1).usable, `${duration}`).to.equal(false);
			expect(answerTrials(group, 'a', now, Lost), `${duration}`).to.equal(1);
		}
	});

	it('ends after three single reads, from where the share grows over 2 s', () => {
		const group = makeGroup();
		group.note(40, 0, {p: good, a: failing, b: good});
		expect(answerTrials(group, 'a', 1000, Answered)).to.equal(3);
		const shares = [1000, 2000, 3000].map(now => group.outliers.getStanding('a', now).share);
		expect(shares[0]).to.equal(0.1);
		expect(shares[1]).to.be.closeTo(0.55, 0.01);
		expect(shares[2]).to.equal(1);
	});

	it('halves its duration for each such period without a fault', () => {
		const group = makeGroup();
		group.note(40, 0, {p: good, a: failing, b: good});
		answerTrials(group, 'a', 1000, Lost);
		answerTrials(group, 'a', 3000, Answered);
		// The next ejection would last 4 s; after 4 s without a fault it lasts 2 s, after 2 s more again 1 s.
		group.note(1, 9100, {a: good});
		const [again] = group.note(40, 9200, {p: good, a: failing, b: good});
		expect(again).to.include({kind: 'ejected', forMs: 1000});
	});

	it('ends at once for a replica that is promoted: only it can serve the reads of the primary', () => {
		const group = makeGroup();
		group.note(40, 0, {p: good, a: failing, b: good});
		group.setMembers(['a', 'b'], 100, 'a');
		expect(group.outliers.getStanding('a', 100).usable).to.equal(true);
	});

	// A new endpoint's caches are cold; the endpoints that a host finds when it starts are not new.
	it('has an endpoint that joins later start slowly', () => {
		const group = makeGroup();
		group.setMembers(['p', 'a', 'b', 'new'], 5000);
		expect(group.outliers.getStanding('a', 5000).share).to.equal(1);
		expect(group.outliers.getStanding('new', 5000).share).to.equal(0.1);
	});
});
