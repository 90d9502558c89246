import {expect} from 'chai';
import {createRegionLink} from '../../src/regions/region-link.js';

/** Notes a sample each 200 ms until `until`, and returns the time of the last. */
function noteAll(link: ReturnType<typeof createRegionLink>, from: number, until: number, ms: number) {
	for (let now = from; now <= until; now += 200) {
		link.note(ms, now);
	}

	return until;
}

describe('the share of optional reads that may cross between regions', () => {
	function doTest(name: string, laterMs: number, expected: readonly [number, number]) {
		it(name, () => {
			const link = createRegionLink();
			const now = noteAll(link, noteAll(link, 0, 2000, 18), 5000, laterMs);
			expect(link.getCrossingShare(now)).to.be.within(...expected);
		});
	}

	doTest('is all while the round trip is near its minimum', 22, [1, 1]);
	doTest('is about half at 1.65 times the minimum', 29.7, [0.45, 0.55]);
	doTest('is none above twice the minimum', 40, [0, 0]);

	it('is all before the first sample', () => {
		expect(createRegionLink().getCrossingShare(0)).to.equal(1);
	});

	// A host that has used up its processor time answers one call late; the link is free all the time.
	it('stays all after a single late answer', () => {
		const link = createRegionLink();
		const now = noteAll(link, 0, 2000, 18);
		link.note(118, now + 200);
		expect(link.getCrossingShare(now + 200)).to.equal(1);
	});

	it('is none within a second of the start of congestion, and all within two of its end', () => {
		const link = createRegionLink();
		const congestedAt = noteAll(link, 0, 2000, 18);
		const freeAt = noteAll(link, congestedAt + 200, congestedAt + 1000, 60);
		expect(link.getCrossingShare(freeAt)).to.equal(0);
		expect(link.getCrossingShare(noteAll(link, freeAt + 200, freeAt + 2000, 18))).to.equal(1);
	});

	// If nothing crosses, nothing is measured, and the link would stay closed for as long as the host runs.
	it('grows again where nothing is measured any more', () => {
		const link = createRegionLink();
		const now = noteAll(link, noteAll(link, 0, 2000, 18), 4000, 60);
		expect(link.getCrossingShare(now)).to.equal(0);
		expect(link.getCrossingShare(now + 6000)).to.equal(1);
	});
});
