import {expect} from 'chai';
import type {CompletionEstimate, ReadCandidate} from '../../src/placement/choose-endpoint.js';
import {CompletionTimePlacement} from '../../src/placement/completion-time-placement.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';

type Changes = Partial<CompletionEstimate> & Partial<Pick<ReadCandidate, 'catchUpMs' | 'isPrimary'>>;

function make(endpointId: string, {catchUpMs = 0, isPrimary = false, ...estimate}: Changes = {}): ReadCandidate {
	return {
		endpointId,
		isPrimary,
		sameZone: true,
		load: 0,
		slots: 4,
		serviceMs: 20,
		catchUpMs,
		estimate: {
			roundTripMs: 1, waitMs: 0, serviceMs: 20, openMs: 0, loadAgeMs: 50, isKnown: true, isIdle: false, share: 1, isTrial: false, ...estimate,
		},
	};
}

describe('placement of a read by its time to response', () => {
	const placement = new CompletionTimePlacement(createSeededRandom(1));
	const countChoices = (candidates: readonly ReadCandidate[], reads: number) => {
		const counts: Record<string, number> = {};
		for (let i = 0; i < reads; i++) {
			const id = placement.choose(candidates, {targetMs: 400, limitMs: 800})?.endpointId ?? 'none';
			counts[id] = (counts[id] ?? 0) + 1;
		}

		return counts;
	};

	function doTest(name: string, candidates: readonly ReadCandidate[], expected: string) {
		it(name, () => {
			expect(Object.keys(countChoices(candidates, 50))).to.deep.equal([expected]);
		});
	}

	// The primary is reserved for what only it can serve: guards against a group whose primary is full of reads while its replicas are idle.
	doTest('keeps a busy primary free while a replica responds in the target', [make('p', {isPrimary: true}), make('r', {waitMs: 300})], 'r');
	doTest('uses an idle primary that responds sooner', [make('p', {isPrimary: true, isIdle: true}), make('r', {waitMs: 100})], 'p');
	doTest('uses a busy primary where no replica responds in the target', [make('p', {isPrimary: true}), make('r', {waitMs: 500})], 'p');
	doTest('waits for a replica that catches up in the target rather than at a full primary', [make('p', {isPrimary: true, waitMs: 600}), make('r', {catchUpMs: 300})], 'r');
	doTest('takes the soonest of those that only miss the target', [make('p', {isPrimary: true, waitMs: 700}), make('r', {catchUpMs: 500})], 'r');
	doTest('counts the opening of a connection', [make('opens', {openMs: 12}), make('open')], 'open');
	doTest('avoids a replica whose lag grows', [make('grows', {catchUpMs: Number.POSITIVE_INFINITY}), make('p', {isPrimary: true, waitMs: 500})], 'p');
	doTest('tries a closed endpoint with the single read that is due', [make('r'), make('closed', {catchUpMs: Number.POSITIVE_INFINITY, isTrial: true})], 'closed');

	// Refused at once, the caller can try another host; sent anyway, the read would be refused after it has waited.
	doTest('is empty where no endpoint responds in time', [make('p', {isPrimary: true, waitMs: 900}), make('r', {catchUpMs: 2000})], 'none');
	// Guards against a host that refuses all reads because of an old figure, which no answer would then correct.
	doTest('does not refuse because of an old load report', [make('p', {isPrimary: true, waitMs: 900, isKnown: false})], 'p');

	// Guards against 900 hosts that read the same figures and all send their next reads to the one best endpoint.
	it('spreads reads over endpoints within 20% of the best', () => {
		const counts = countChoices([make('a'), make('b', {waitMs: 3}), make('far', {waitMs: 10})], 400);
		expect(counts).to.have.all.keys('a', 'b');
		expect(Math.min(counts.a!, counts.b!)).to.be.greaterThan(120);
	});

	it('sends a readmitted endpoint no more than its share while another can serve the reads', () => {
		const counts = countChoices([make('back', {share: 0.1}), make('usual', {waitMs: 5})], 400);
		expect(counts.back).to.be.within(10, 90);
	});

	it('uses a readmitted endpoint beyond its share rather than a busy primary', () => {
		expect(countChoices([make('back', {share: 0.1}), make('p', {isPrimary: true})], 50)).to.deep.equal({back: 50});
	});
});
