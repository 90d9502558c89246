import {expect} from 'chai';
import {BATCH_RETENTION_MS} from '../../src/explanations/batch-sweeper.js';
import {createRequestId} from '../../src/random/request-id.js';
import {Outage} from '../../src/stand-ins/platform/platform-faults.js';
import {createExplanationBench, createHost} from './explanation-fixtures.js';

const MINUTE_MS = 60_000;

describe('explanations', () => {
	// A caller asks about a refusal on a later day, when every proxy that handled the request has been replaced and its memory
	// is lost. Hosts store nothing on disk, so only the ticket and the batch in the platform hold the record.
	it('are found after every proxy that handled the request has died', async () => {
		const bench = createExplanationBench(3);
		const [first, second, third] = bench.hosts as [typeof bench.hosts[0], typeof bench.hosts[0], typeof bench.hosts[0]];
		await first.start!();
		const record = bench.createRecord();
		const ticket = first.record(record);

		expect(await first.search(record.requestId)).to.deep.include({records: [record], source: 'memory', hostsAsked: 1});
		expect(await second.search(record.requestId)).to.deep.include({records: [record], source: 'peer'});
		await bench.clock.advance(MINUTE_MS);
		bench.kill(0);

		expect(third.openTicket(ticket)).to.deep.equal(record);
		expect(await third.search(record.requestId)).to.deep.equal({
			records: [record], source: 'platform', hostsAsked: 3, hostsSilent: 1, platformAnswered: true, notKept: 0,
		});
		expect(await third.find(record.requestId)).to.deep.equal([record]);
	});

	it('are written to the platform when the host stops in an orderly way', async () => {
		const bench = createExplanationBench(2);
		await bench.hosts[0]!.start!();
		const record = bench.createRecord();
		bench.hosts[0]!.record(record);
		await bench.clock.runUntil(bench.hosts[0]!.stop!());
		bench.kill(0);
		expect(await bench.hosts[1]!.find(record.requestId)).to.deep.equal([record]);
	});

	it('report an empty result, the number of silent hosts and that the platform did not answer', async () => {
		const bench = createExplanationBench(3);
		bench.kill(1);
		bench.platform.faultInjector.faults.outage = Outage.Refusing;
		const requestId = createRequestId(bench.clock.wall(), bench.random);
		expect(await bench.hosts[0]!.search(requestId)).to.deep.equal({
			records: [], source: 'none', hostsAsked: 3, hostsSilent: 1, platformAnswered: false, notKept: 0,
		});
	});

	it('are found within a few list calls, also if the caller\'s clock is wrong', async () => {
		const bench = createExplanationBench(1);
		const host = bench.hosts[0]!;
		await host.start!();
		const near = bench.createRecord();
		const early = bench.createRecord({requestId: createRequestId(bench.clock.wall() + (4 * MINUTE_MS), bench.random)});
		host.record(near);
		host.record(early);
		await bench.clock.runUntil(host.stop!());
		const other = createExplanationBench(1, () => bench.platform).hosts[0]!;

		const count = async (requestId: string) => {
			const before = bench.store.calls.list;
			const found = await other.find(requestId);
			return {found: found.length, lists: bench.store.calls.list - before};
		};

		expect(await count(near.requestId)).to.deep.equal({found: 1, lists: 4});
		expect(await count(early.requestId)).to.deep.equal({found: 1, lists: 13});
		expect(await count('not-a-request-id')).to.deep.equal({found: 0, lists: 0});
	});

	describe('under many refusals', () => {
		const doTest = (perSecond: number, expected: {kept: number; leftOut: number}) => {
			it(`stay within the limits of calls and bytes at ${perSecond} refusals per second`, async () => {
				const bench = createExplanationBench(1);
				const host = bench.hosts[0]!;
				await host.start!();
				// The only refusal of its kind among many others.
				const rare = bench.createRecord({code: 'write-lost', reason: 'a write was lost'});
				for (let tick = 0; tick < 600; tick++) {
					if (tick === 590) {
						host.record(rare);
					}

					for (let index = 0; index < perSecond / 10; index++) {
						host.record(bench.createRecord());
					}

					await bench.clock.advance(100);
				}

				await bench.clock.advance(2 * MINUTE_MS);
				const {seen, kept, leftOut, lost, calls} = host.figures;
				const seenExpected = (60 * perSecond) + 1;
				expect({seen, lost, sum: kept + leftOut}).to.deep.equal({seen: seenExpected, lost: 0, sum: seenExpected});
				// Two writes of the burst, two by the interval, and those for the records that came after them.
				expect(calls).to.be.at.most(5);
				expect(kept).to.be.at.least(expected.kept);
				expect(leftOut).to.be.at.least(expected.leftOut);
				const other = createExplanationBench(1, () => bench.platform).hosts[0]!;
				expect(await other.find(rare.requestId)).to.deep.equal([rare]);
			});
		};

		doTest(10, {kept: 601, leftOut: 0});
		doTest(1000, {kept: 1000, leftOut: 50_000});
	});

	// The platform is down for an hour while requests are refused. Without a limit, every proxy's memory would grow until the
	// process dies. If the limit were not reported, an operator would take "no record" to mean "no refusal".
	it('limit their memory in a platform outage and count the lost records', async () => {
		const bench = createExplanationBench(1);
		const host = bench.hosts[0]!;
		await host.start!();
		bench.platform.faultInjector.faults.outage = Outage.Silent;
		const lostRecord = bench.createRecord();
		host.record(lostRecord);
		for (let second = 0; second < 3600; second++) {
			host.record(bench.createRecord());
			await bench.clock.advance(1000);
		}

		const {lost, kept, calls} = host.figures;
		expect(kept).to.equal(0);
		expect(lost).to.be.within(1500, 2600);
		expect(calls).to.be.at.most((3600 / 30) + 2);

		bench.platform.faultInjector.faults.outage = Outage.None;
		await bench.clock.advance(30 * MINUTE_MS);
		const after = host.figures;
		expect(after.kept + after.lost).to.equal(after.seen);

		const other = createExplanationBench(1, () => bench.platform).hosts[0]!;
		const search = await other.search(bench.createRecord({requestId: lostRecord.requestId}).requestId);
		expect(search).to.include({source: 'none', platformAnswered: true});
	});

	// The answer to the write of a batch is lost after the write took effect, and the batch is sent again. Without the unique
	// name, the records would be stored twice, or the recorder would send the same batch forever.
	it('write a batch once when the platform\'s answer is lost', async () => {
		const bench = createExplanationBench(1);
		await bench.hosts[0]!.start!();
		bench.platform.faultInjector.faults.lostAnswers = 1;
		bench.hosts[0]!.record(bench.createRecord());
		await bench.clock.advance(5 * MINUTE_MS);
		expect(bench.store.list('explanations', '').objects).to.have.length(1);
		expect(bench.hosts[0]!.figures).to.include({kept: 1, lost: 0, calls: 2});
	});

	it('are deleted after the retention period by a host that is running then', async () => {
		const bench = createExplanationBench(3);
		await bench.hosts[0]!.start!();
		bench.hosts[0]!.record(bench.createRecord());
		await bench.clock.runUntil(bench.hosts[0]!.stop!());
		bench.kill(0);
		const writer = createHost(1).name;
		expect(bench.store.list('explanations', '').objects[0]?.name).to.include(writer);

		await bench.clock.advance(BATCH_RETENTION_MS - (5 * MINUTE_MS));
		await bench.hosts[1]!.start!();
		await bench.hosts[2]!.start!();
		await bench.clock.advance(4 * MINUTE_MS);
		expect(bench.store.list('explanations', '').objects).to.have.length(1);
		await bench.clock.advance(63 * MINUTE_MS);
		expect(bench.store.list('explanations', '').objects).to.have.length(0);
	});
});
