import {expect} from 'chai';
import {EndpointRole} from '../../src/endpoints/endpoint.js';
import {FailoverPhase} from '../../src/failover/failover-state.js';
import type {DatabaseServer} from '../../src/stand-ins/database/database-server.js';
import {createFailoverBench, type FailoverBench} from './failover-bench.js';

/** Waits until a write lands again and returns the time without one. */
async function measureGap(bench: FailoverBench): Promise<number> {
	const startedAt = bench.clock.now();
	const host = bench.hosts[0]!;
	while (!await bench.clock.runUntil(host.write())) {
		expect(bench.clock.now() - startedAt, 'gap').to.be.below(3000);
		await bench.clock.advance(5);
	}

	return bench.clock.now() - startedAt;
}

describe('loss of the primary', () => {
	// Filings stall: the primary's process is gone, its network is cut, or it hangs. Nothing but the proxies can raise
	// another one, and each second without it may cost a client its priority date.
	const doLossTest = (title: string, lose: (primary: DatabaseServer) => void, mostMs: number) => {
		it(`raises another primary when the first one is ${title}`, async () => {
			for (const seed of [1, 2, 3, 4, 5, 6, 7]) {
				const bench = await createFailoverBench({seed});
				await bench.clock.advance(seed * 37);
				lose(bench.getServer('db-1'));

				expect(await measureGap(bench)).to.be.below(mostMs);
				expect(bench.getPrimary()?.address).not.to.equal(bench.getServer('db-1').address);
				expect(bench.getPromotions()).to.have.length(1);
				const {parts} = bench.hosts.flatMap(host => host.promotions)[0]!;
				expect(Object.values(parts).reduce((sum, ms) => sum + ms, 0)).to.be.below(mostMs + 250);
				await bench.stop();
			}
		});
	};

	doLossTest('killed', primary => {
		primary.kill();
	}, 500);
	doLossTest('frozen', primary => {
		primary.faults.freeze();
	}, 1300);
	doLossTest('cut off from everyone', primary => {
		primary.faults.cut();
	}, 1300);

	it('gives a fresh group its first primary, also while one server is missing', async () => {
		for (const missing of [undefined, 'db-1', 'db-3']) {
			const bench = await createFailoverBench({fresh: true, missing});
			expect(bench.getPromotions()).to.have.length(1);
			expect(await bench.clock.runUntil(bench.hosts[0]!.write())).to.equal(true);
			await bench.stop();
		}
	});

	it('never acknowledges a write of a frozen primary that thaws after the promotion', async () => {
		// A filing is acknowledged and then gone. The primary freezes with the write on its way, another one is raised,
		// the frozen one thaws still believing that it leads, and runs the write at its old term.
		const bench = await createFailoverBench();
		const old = bench.getServer('db-1');
		expect(await bench.clock.runUntil(bench.hosts[1]!.write())).to.equal(true);
		old.faults.freeze();
		const before = old.member.log.end.position;
		const write = bench.hosts[1]!.write(5000);
		await bench.until(() => bench.getPromotions().length > 0, 3000);
		old.faults.thaw();
		await bench.until(() => old.member.log.end.position > before, 100);

		expect(old.member.log.end.term).to.equal(1);
		expect(await bench.clock.runUntil(write)).to.equal(false);
		await bench.stop();
	});

	it('takes a divergent old primary back as a replica without raising a term', async () => {
		// A read shows a night that never was. A cut-off primary keeps entries that nobody else has; when it comes back,
		// they must go, and the group must not change its primary again for its sake.
		const bench = await createFailoverBench();
		const old = bench.getServer('db-1');
		old.faults.cut(['10.0.0.2:5432', '10.0.0.3:5432']);
		expect(await bench.clock.runUntil(bench.hosts[1]!.write())).to.equal(false);
		old.faults.cut();
		await bench.until(() => bench.getPromotions().length > 0, 3000);
		const divergent = old.member.getStatus();
		expect(await bench.clock.runUntil(bench.hosts[0]!.write())).to.equal(true);
		// Later, and restarted, so that no order sent to it during the promotion still arrives.
		await bench.clock.advance(1000);
		old.kill();
		old.faults.heal();
		old.restart();
		await bench.clock.advance(5000);

		expect(divergent).to.include({role: EndpointRole.Primary, term: 1});
		expect(old.member.getStatus()).to.deep.equal({...bench.getPrimary()!.member.getStatus(), role: EndpointRole.Replica});
		expect(bench.getPromotions()).to.have.length(1);
		await bench.stop();
	});

	it('promotes nothing and raises no term without a majority, says so, and goes on when one is back', async () => {
		// An acknowledged filing vanishes: one server alone is promoted although another one, that is away, holds more.
		const bench = await createFailoverBench();
		bench.getServer('db-1').kill();
		bench.getServer('db-2').kill();
		await bench.clock.advance(20_000);

		expect(bench.getServer('db-3').member.getStatus().term).to.equal(1);
		expect(bench.getPromotions()).to.deep.equal([]);
		expect(bench.hosts[0]!.failover.getState()).to.include({phase: FailoverPhase.NoMajority});
		bench.getServer('db-2').restart();
		await bench.until(() => bench.getPromotions().length > 0, 5000);
		expect(await bench.clock.runUntil(bench.hosts[0]!.write())).to.equal(true);
		await bench.stop();
	});

	it('leaves a primary alone whose network flaps', async () => {
		// Sessions stall at every flap: the primary is deposed each time, for a cut that is over sooner than the change.
		const bench = await createFailoverBench();
		for (let flap = 0; flap < 40; flap++) {
			bench.getServer('db-1').faults.cut();
			await bench.clock.advance(650);
			bench.getServer('db-1').faults.heal();
			await bench.clock.advance(200);
		}

		expect(bench.getPromotions()).to.deep.equal([]);
		expect(await bench.clock.runUntil(bench.hosts[0]!.write())).to.equal(true);
		await bench.stop();
	});

	it('leaves a primary alone that comes back after the suspicion was confirmed', async () => {
		// Sessions stall once more for nothing: the host that was to promote was itself held up after it had decided.
		const bench = await createFailoverBench();
		bench.getServer('db-1').faults.freeze();
		await bench.until(() => bench.hosts[0]!.failover.getState().phase === FailoverPhase.Promoting, 3000);
		bench.getServer('db-1').faults.thaw();
		await bench.clock.advance(3000);

		expect(bench.getPromotions()).to.deep.equal([]);
		expect(bench.hosts[0]!.failover.getState().phase).to.equal(FailoverPhase.Watching);
		await bench.stop();
	});

	it('ends with one primary when every new one is lost soon after', async () => {
		const bench = await createFailoverBench();
		for (let round = 1; round <= 4; round++) {
			const lost = bench.getPrimary()!;
			lost.kill();
			await bench.until(() => bench.getPromotions().length === round, 3000);
			lost.restart();
			await bench.clock.advance(3000);
		}

		expect(bench.getPromotions().map(({term}) => term)).to.deep.equal([2, 3, 4, 5]);
		expect(bench.servers.filter(server => server.member.getStatus().role === EndpointRole.Primary)).to.have.length(1);
		expect(await bench.clock.runUntil(bench.hosts[0]!.write())).to.equal(true);
		await bench.stop();
	});
});
