import {expect} from 'chai';
import {createSilentLog} from '../../src/log/silent-log.js';
import {leave} from '../../src/proxy/leave.js';
import {createProxyBench, describeAnswer} from './proxy-bench.js';

const GRACE_MS = 6000;

async function createLeavingBench() {
	const bench = await createProxyBench();
	const {kernel} = bench.proxies[0]!;
	const startLeaving = async () => {
		const startedAt = bench.clock.now();
		await leave({
			gateway: kernel.getOrThrow('gateway'),
			leadWatch: kernel.getOrThrow('leadWatch'),
			lender: kernel.getOrThrow('linkLender'),
			clock: bench.clock,
			log: createSilentLog(),
			graceMs: GRACE_MS,
		});
		return bench.clock.now() - startedAt;
	};

	return {bench, startLeaving};
}

/** A host gets the order to stop. The balancer sends callers for two more seconds, sessions are idle, busy or in transactions. */
describe('a proxy that is stopped in order', () => {
	it('serves on until the balancer has noticed, then ends idle sessions and itself', async () => {
		const {bench, startLeaving} = await createLeavingBench();
		const idle = await bench.open(bench.proxies[0]!, 'sync');
		const left = startLeaving();
		await bench.clock.advance(2000);
		const late = await bench.open(bench.proxies[0]!, 'sync');
		expect([idle.closed, await bench.ask(late, 'WRITE a 1')]).to.deep.equal([false, 'done idle']);
		expect(await bench.clock.runUntil(left)).to.be.lessThan(2500);
		expect([idle.closed, late.closed]).to.deep.equal([true, true]);
	});

	it('answers a statement that is under way', async () => {
		const {bench, startLeaving} = await createLeavingBench();
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		const left = startLeaving();
		await bench.clock.advance(2295);
		const answer = bench.send(caller, 'WRITE a 1');
		await bench.clock.runUntil(left);
		expect(describeAnswer(await answer)).to.equal('done idle');
	});

	/**
	 * A host is stopped while it replaces a primary. Ended half way, it leaves the group without one until another host has
	 * waited for the end of its duty; and it begins no replacement any more, for the same reason.
	 */
	it('finishes a replacement that is under way, and begins none', async () => {
		const {bench, startLeaving} = await createLeavingBench();
		const watch = bench.proxies[0]!.kernel.getOrThrow('leadWatch');
		bench.getPrimary().leaving = true;
		bench.system.registerEndpoints();
		while (!bench.proxies.some(({kernel}) => kernel.getOrThrow('leadWatch').replacing)) {
			await bench.clock.advance(10);
		}

		const own = watch.replacing;
		await bench.clock.runUntil(startLeaving());
		expect([own && watch.replacing, bench.group.leader.id === 'nights-1' && own]).to.deep.equal([false, false]);
		bench.group.crash(bench.getPrimary());
		await bench.clock.advance(5000);
		expect(watch.replacing).to.equal(false);
	});

	it('lets an open transaction end', async () => {
		const {bench, startLeaving} = await createLeavingBench();
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		await bench.ask(caller, 'BEGIN');
		await bench.ask(caller, 'WRITE a 1');
		const left = startLeaving();
		await bench.clock.advance(2700);
		expect(await bench.ask(caller, 'COMMIT')).to.equal('done idle');
		expect(await bench.clock.runUntil(left)).to.be.lessThan(3000);
	});

	it('rolls one back that stays open for half of the grace, and says so', async () => {
		const {bench, startLeaving} = await createLeavingBench();
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		await bench.ask(caller, 'BEGIN');
		await bench.ask(caller, 'WRITE a 1', 'open');
		expect(await bench.clock.runUntil(startLeaving())).to.be.lessThan(GRACE_MS);
		expect([caller.closed, caller.refusal, bench.ran.filter(line => line.includes('commit'))]).to.deep.equal([true, 'aborted', []]);
	});
});
