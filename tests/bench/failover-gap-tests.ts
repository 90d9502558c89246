import {expect} from 'chai';
import {LOSSES} from '../../src/bench/failover-gap/losses.js';
import {checkFilings, getLongestGap} from '../../src/bench/failover-gap/filings.js';
import {openStage, runLoss} from '../../src/bench/failover-gap/loss-run.js';
import {PRODUCT} from '../../src/bench/failover-gap/policies.js';
import {runSwitch} from '../../src/bench/failover-gap/switch-run.js';

describe('failover-gap', () => {
	const lose = async (name: string) => runLoss(1, PRODUCT, LOSSES.find(loss => loss.name === name)!, 'up');

	it('repeats a run of the same seed', async () => {
		expect(await lose('killed')).to.deep.equal(await lose('killed'));
	});

	// Filings stall twice: the second owner, told of the new primary, still held the verdict on the old one and deposed the
	// new one for it.
	it('replaces a primary that is cut off from its group once', async () => {
		const {promotions} = await lose('cut off from its group only');
		expect(promotions).to.equal(1);
	});

	// The second owner waited for its turn, asked the lost primary all that time, and then waited for it for 300 ms more.
	it('does not wait for a lost primary twice when the first owner is dead', async () => {
		const {parts} = await lose('frozen, first owner dead');
		expect(parts?.claim).to.be.below(100);
	});

	it('changes the primary as planned without a failed filing', async () => {
		const {failed, promotions} = await runSwitch(1, PRODUCT);
		expect({failed, promotions}).to.deep.equal({failed: 0, promotions: 1});
	});

	it('counts a gap that nothing ended', () => {
		const done = [10, 20].map(endedAt => ({
			id: endedAt, entry: 'a', askedAt: endedAt, endedAt, answer: {outcome: 'done' as const, requestId: ''},
		}));
		expect([getLongestGap(done, 0, 25).ms, getLongestGap(done, 0, 500).ms]).to.deep.equal([10, 480]);
	});

	// A run that no longer sees a lost filing would give its figures all the same.
	it('fails where an acknowledged filing is missing', async () => {
		const {system, stream} = await openStage(1, PRODUCT);
		await system.clock.advance(200);
		await system.clock.runUntil(stream.end());
		const acknowledged = {...stream.filings[0]!, id: 1_000_000};
		expect(() => {
			checkFilings(system, [acknowledged]);
		}).to.throw('failover-gap: filing 1000000 was answered done and is there 0 times');
		await system.stop();
	});
});
