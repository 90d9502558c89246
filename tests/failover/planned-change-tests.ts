import {expect} from 'chai';
import {isFailoverError} from '../../src/failover/failover-errors.js';
import {EndpointOrder} from '../../src/groups/group-config.js';
import {createFailoverBench, type FailoverBench} from './failover-bench.js';

/** Writes continuously at both owners until stopped, and counts acknowledged and failed writes. */
function startWrites(bench: FailoverBench) {
	const ended = {acknowledged: 0, failed: 0};
	let running = true;
	const isRunning = () => running;

	const writers = bench.hosts.slice(0, 2).flatMap(host => Array.from({length: 3}, async () => {
		while (isRunning()) {
			if (await host.write()) {
				ended.acknowledged++;
			} else {
				ended.failed++;
			}

			await bench.clock.sleep(2);
		}
	}));

	return {
		ended,
		async stop() {
			running = false;
			await bench.clock.runUntil(Promise.all(writers));
		},
	};
}

async function expectRefused(promise: Promise<void>, reason: RegExp): Promise<void> {
	const err: unknown = await promise.then(() => undefined, (err_: unknown) => err_);
	expect(isFailoverError(err)).to.equal(true);
	expect((err as Error).message).to.match(reason);
}

describe('planned change of primary', () => {
	const doChangeTest = (title: string, requestChange: (bench: FailoverBench) => void, expected: string[]) => {
		it(`fails no write when ${title}`, async () => {
			// A planned change fails writes that are in flight to the old primary.
			const bench = await createFailoverBench();
			const writes = startWrites(bench);
			await bench.clock.advance(500);
			requestChange(bench);
			await bench.until(() => bench.getPromotions().length > 0, 10_000);
			await bench.clock.advance(1000);
			await writes.stop();

			expect(writes.ended.failed).to.equal(0);
			expect(writes.ended.acknowledged).to.be.above(400);
			expect(expected).to.include(bench.getPromotions()[0]!.endpoint);
			const positions = new Set(bench.servers.map(server => server.member.log.end.position));
			expect([...positions]).to.deep.equal([writes.ended.acknowledged + 2]);
			await bench.stop();
		});
	};

	doChangeTest('an operator names the new primary', bench => {
		void bench.hosts[1]!.failover.switchTo('db-3', 5000);
	}, ['db-3']);
	doChangeTest('the primary is drained', bench => {
		bench.order('db-1', EndpointOrder.Drain);
	}, ['db-2', 'db-3']);
	doChangeTest('the primary is stopped and another endpoint drained', bench => {
		bench.order('db-2', EndpointOrder.Drain);
		bench.order('db-1', EndpointOrder.Stop);
	}, ['db-3']);
	doChangeTest('the primary reports that it is leaving', bench => {
		bench.getServer('db-1').setLeaving(true);
	}, ['db-2', 'db-3']);

	const doRefusalTest = (title: string, prepare: (bench: FailoverBench) => void, target: string, reason: RegExp) => {
		it(`is refused, and writes go on at the old primary, when ${title}`, async () => {
			const bench = await createFailoverBench();
			const writes = startWrites(bench);
			prepare(bench);
			await bench.clock.advance(100);
			const order = expectRefused(bench.hosts[0]!.failover.switchTo(target, 1500), reason);
			await bench.clock.runUntil(order);
			const {acknowledged} = writes.ended;
			await bench.clock.advance(1000);
			await writes.stop();

			expect(writes.ended.failed).to.equal(0);
			expect(writes.ended.acknowledged).to.be.above(acknowledged + 100);
			expect(bench.servers.map(server => server.member.getStatus().term)).to.deep.equal([1, 1, 1]);
			await bench.stop();
		});
	};

	doRefusalTest('the target does not catch up', bench => {
		bench.getServer('db-3').setReplicationStalled(true);
	}, 'db-3', /db-3 holds position \d+ of \d+ and did not catch up/v);
	doRefusalTest('the target is dead', bench => {
		bench.getServer('db-3').kill();
	}, 'db-3', /db-3 gave no answer/v);
	doRefusalTest('the target is drained', bench => {
		bench.order('db-3', EndpointOrder.Drain);
	}, 'db-3', /db-3 is drained, stopped or leaving/v);
	doRefusalTest('the target does not exist', () => undefined, 'db-9', /the group has no endpoint db-9/v);

	it('ends the hold of writes at the other owner when the host that requested the change dies', async () => {
		// Writes wait for ever at a healthy owner: the host that requested the hold is dead and never releases it.
		const bench = await createFailoverBench();
		const [first, second] = bench.hosts;
		void first!.failover.switchTo('db-3', 5000).catch(() => undefined);
		await bench.until(() => second!.isHeld(), 100);
		bench.network.kill(first!.address);
		first!.pauseNow();
		const startedAt = bench.clock.now();

		expect(await bench.clock.runUntil(second!.write())).to.equal(true);
		expect(bench.clock.now() - startedAt).to.be.below(bench.settings.holdMs + 200);
		await first!.resume();
		await bench.stop();
	});
});
