import {expect} from 'chai';
import {EndpointRole} from '../../src/endpoints/endpoint.js';
import {FailoverPhase} from '../../src/failover/failover-state.js';
import type {DatabaseServer} from '../../src/stand-ins/database/database-server.js';
import {createFailoverBench, type FailoverBench} from './failover-bench.js';

/** Waits until a write is acknowledged again; resolves with the time until then, in milliseconds. */
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
	// No write succeeds after the primary's process dies, hangs or is cut off, until a proxy promotes another server. The
	// limits bound that time.
	const doLossTest = (title: string, lose: (primary: DatabaseServer) => void, maxMs: number) => {
		it(`promotes another primary when the first one is ${title}`, async () => {
			for (const seed of [1, 2, 3, 4, 5, 6, 7]) {
				const bench = await createFailoverBench({seed});
				await bench.clock.advance(seed * 37);
				lose(bench.getServer('db-1'));

				expect(await measureGap(bench)).to.be.below(maxMs);
				expect(bench.getPrimary()?.address).not.to.equal(bench.getServer('db-1').address);
				expect(bench.getPromotions()).to.have.length(1);
				const {stepDurations} = bench.hosts.flatMap(host => host.promotions)[0]!;
				expect(Object.values(stepDurations).reduce((sum, ms) => sum + ms, 0)).to.be.below(maxMs + 250);
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

	it('promotes the first primary of a new group, also while one server is down', async () => {
		for (const missing of [undefined, 'db-1', 'db-3']) {
			const bench = await createFailoverBench({fresh: true, missing});
			expect(bench.getPromotions()).to.have.length(1);
			expect(await bench.clock.runUntil(bench.hosts[0]!.write())).to.equal(true);
			await bench.stop();
		}
	});

	it('never acknowledges a write of a frozen primary that resumes after the promotion', async () => {
		// An acknowledged write is lost: the primary freezes with the write in flight, another server is promoted, and the
		// old primary resumes, still takes itself for the primary and runs the write at its old term.
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

	it('makes a divergent old primary a replica again without raising a term', async () => {
		// A read returns a row that was never acknowledged: a cut-off primary keeps entries that no other server has. When it
		// is reachable again they must be discarded, and the group must not change its primary again because of it.
		const bench = await createFailoverBench();
		const old = bench.getServer('db-1');
		old.faults.cut(['10.0.0.2:5432', '10.0.0.3:5432']);
		expect(await bench.clock.runUntil(bench.hosts[1]!.write())).to.equal(false);
		old.faults.cut();
		await bench.until(() => bench.getPromotions().length > 0, 3000);
		const divergent = old.member.getStatus();
		expect(await bench.clock.runUntil(bench.hosts[0]!.write())).to.equal(true);
		// The old primary is restarted later, so that no order sent to it during the promotion still arrives.
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

	it('promotes no server and raises no term without a majority, reports that, and promotes one once a majority is back', async () => {
		// An acknowledged write is lost: the only reachable server is promoted although another one, which is down, holds more.
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

	it('does not replace a primary whose network flaps', async () => {
		// Writes stop at every flap: the primary is deposed each time because of a cut that ends sooner than the change.
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

	it('does not replace a primary that answers again after its loss was confirmed', async () => {
		// A healthy primary is replaced: the host that was to promote was itself delayed after its decision.
		const bench = await createFailoverBench();
		bench.getServer('db-1').faults.freeze();
		await bench.until(() => bench.hosts[0]!.failover.getState().phase === FailoverPhase.Promoting, 3000);
		bench.getServer('db-1').faults.thaw();
		await bench.clock.advance(3000);

		expect(bench.getPromotions()).to.deep.equal([]);
		expect(bench.hosts[0]!.failover.getState().phase).to.equal(FailoverPhase.Watching);
		await bench.stop();
	});

	it('ends with one primary when each new one is lost soon after its promotion', async () => {
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
