import {expect} from 'chai';
import {LOSS_SCENARIOS} from '../../src/bench/failover-gap/losses.js';
import {checkFilings, getLongestGap} from '../../src/bench/failover-gap/filings.js';
import {startTestbed, runLoss} from '../../src/bench/failover-gap/loss-run.js';
import {PRODUCT} from '../../src/bench/failover-gap/policies.js';
import {runPlannedChange} from '../../src/bench/failover-gap/planned-change-run.js';

describe('failover-gap', () => {
	const runScenario = async (name: string) => runLoss(1, PRODUCT, LOSS_SCENARIOS.find(loss => loss.name === name)!, 'up');

	it('repeats a run of the same seed', async () => {
		expect(await runScenario('killed')).to.deep.equal(await runScenario('killed'));
	});

	// The second owner, after it had been notified of the new primary, still considered the primary lost because of the old one, and
	// replaced the new one too. Filings stalled twice.
	it('replaces a primary that is cut off from its group exactly once', async () => {
		const {promotions} = await runScenario('cut off from its group only');
		expect(promotions).to.equal(1);
	});

	// The second owner queried the lost primary while it waited for its turn, and then waited another 300 ms for its response.
	it('does not wait for a lost primary twice when the first owner is dead', async () => {
		const {parts} = await runScenario('frozen, first owner dead');
		expect(parts?.claim).to.be.below(100);
	});

	it('changes the primary as planned without a failed filing', async () => {
		const {failed, promotions} = await runPlannedChange(1, PRODUCT);
		expect({failed, promotions}).to.deep.equal({failed: 0, promotions: 1});
	});

	it('counts a gap without an end up to the end of the measurement', () => {
		const done = [10, 20].map(endedAt => ({
			id: endedAt, entry: 'a', sentAt: endedAt, endedAt, answer: {outcome: 'done' as const, requestId: ''},
		}));
		expect([getLongestGap(done, 0, 25).ms, getLongestGap(done, 0, 500).ms]).to.deep.equal([10, 480]);
	});

	// Without this check, a run that lost an acknowledged filing would still report its figures.
	it('fails where an acknowledged filing is missing', async () => {
		const {system, stream} = await startTestbed(1, PRODUCT);
		await system.clock.advance(200);
		await system.clock.runUntil(stream.end());
		const acknowledged = {...stream.filings[0]!, id: 1_000_000};
		expect(() => {
			checkFilings(system, [acknowledged]);
		}).to.throw('failover-gap: filing 1000000 has the outcome done and is stored 0 times');
		await system.stop();
	});
});
