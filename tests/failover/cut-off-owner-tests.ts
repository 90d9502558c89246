import {expect} from 'chai';
import {FailoverPhase} from '../../src/failover/failover-state.js';
import {createFailoverBench, type FailoverBench} from './failover-bench.js';

function cutPeers(bench: FailoverBench, from: number): void {
	for (const [i, host] of bench.hosts.entries()) {
		if (i !== from) {
			bench.network.setFaultsBetween(bench.hosts[from]!.address, host.address, {cut: true});
		}
	}
}

describe('reachability report', () => {
	it('prevents an owner that is cut off from the primary from deposing it', async () => {
		// Writes of a group stop briefly again and again: one host loses its connection to a healthy primary, still reaches
		// the replicas and promotes one, which a host on the other side deposes in turn.
		for (const cutOff of [0, 1]) {
			const bench = await createFailoverBench();
			bench.hosts[cutOff]!.endpoints.getLink('10.0.0.1:5432').cut();
			await bench.clock.advance(20_000);

			expect(bench.getPromotions()).to.deep.equal([]);
			expect(bench.servers.map(server => server.member.getStatus().term)).to.deep.equal([1, 1, 1]);
			expect(bench.hosts[cutOff]!.failover.getState().phase).to.equal(FailoverPhase.Contested);
			expect(await bench.clock.runUntil(bench.hosts[1 - cutOff]!.write())).to.equal(true);
			await bench.stop();
		}
	});

	it('prevents an owner that reaches neither the primary nor any other host from promoting', async () => {
		const bench = await createFailoverBench();
		bench.hosts[0]!.endpoints.getLink('10.0.0.1:5432').cut();
		cutPeers(bench, 0);
		await bench.clock.advance(20_000);

		expect(bench.getPromotions()).to.deep.equal([]);
		expect(await bench.clock.runUntil(bench.hosts[1]!.write())).to.equal(true);
		await bench.stop();
	});

	const doWitnessTest = (title: string, owners: number, prepare: (bench: FailoverBench) => void) => {
		it(`is taken from a host that is not an owner where ${title}`, async () => {
			// The group stays without a primary: its second owner is dead as well, or it has only one.
			const bench = await createFailoverBench({owners});
			prepare(bench);
			bench.getServer('db-1').kill();
			await bench.until(() => bench.getPromotions().length > 0, 3000);
			await bench.stop();
		});
	};

	doWitnessTest('the group has one owner', 1, () => undefined);
	doWitnessTest('the other owner is dead', 2, bench => {
		bench.network.kill(bench.hosts[1]!.address);
	});

	it('lets the second owner promote when the first one dies together with the primary', async () => {
		const bench = await createFailoverBench();
		bench.hosts[0]!.pauseNow();
		bench.getServer('db-1').kill();
		await bench.until(() => bench.hosts[1]!.promotions.length > 0, 3000);
		expect(await bench.clock.runUntil(bench.hosts[1]!.write())).to.equal(true);
		await bench.hosts[0]!.resume();
		await bench.stop();
	});

	it('lets the majority side promote when the primary and one owner are cut off together', async () => {
		// The cut-off primary and the owner on its side still take it for the primary; neither may acknowledge a write.
		const bench = await createFailoverBench();
		const [minorityOwner, majorityOwner] = bench.hosts;
		bench.getServer('db-1').faults.cut(['10.0.0.2:5432', '10.0.0.3:5432', majorityOwner!.name, bench.hosts[2]!.name]);
		minorityOwner!.endpoints.getLink('10.0.0.2:5432').cut();
		minorityOwner!.endpoints.getLink('10.0.0.3:5432').cut();
		cutPeers(bench, 0);
		const write = minorityOwner!.write();
		await bench.until(() => bench.getPromotions().length > 0, 4000);

		expect(majorityOwner!.promotions).to.have.length(1);
		expect(await bench.clock.runUntil(write)).to.equal(false);
		expect(await bench.clock.runUntil(minorityOwner!.write())).to.equal(false);
		expect(await bench.clock.runUntil(majorityOwner!.write())).to.equal(true);
		await bench.stop();
	});
});

describe('primary cut off from its group', () => {
	const cutFromGroup = (bench: FailoverBench) => {
		bench.getServer('db-1').faults.cut(['10.0.0.2:5432', '10.0.0.3:5432']);
	};

	it('is replaced although every host reaches it', async () => {
		// Writes run and are never acknowledged: the primary answers every poll, but its entries reach no replica.
		const bench = await createFailoverBench();
		expect(await bench.clock.runUntil(bench.hosts[0]!.write())).to.equal(true);
		cutFromGroup(bench);
		const startedAt = bench.clock.now();
		expect(await bench.clock.runUntil(bench.hosts[0]!.write())).to.equal(false);
		await bench.until(() => bench.getPromotions().length > 0, 4000);

		expect(bench.clock.now() - startedAt).to.be.below(3000);
		expect(bench.getPrimary()).not.to.equal(bench.getServer('db-1'));
		expect(await bench.clock.runUntil(bench.hosts[0]!.write())).to.equal(true);
		await bench.stop();
	});

	it('is not detected in a group whose replicas merely lag', async () => {
		const bench = await createFailoverBench();
		for (const server of bench.servers) {
			server.setReplicationLag(1200);
		}

		for (let i = 0; i < 20; i++) {
			await bench.clock.runUntil(bench.hosts[0]!.write());
			await bench.clock.advance(900);
		}

		expect(bench.getPromotions()).to.deep.equal([]);
		await bench.stop();
	});
});
