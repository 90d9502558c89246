import {expect} from 'chai';
import {ExchangeKind} from '../../src/stand-ins/database/exchange-kind.js';
import {EndpointOrder} from '../../src/groups/group-config.js';
import {ObjectKind} from '../../src/object-store/platform.js';
import {Outage, type PlatformFaults} from '../../src/stand-ins/platform/platform-faults.js';
import {createFailoverBench, type FailoverBench} from './failover-bench.js';

/** Maximum time until a promotion, in milliseconds. */
const MAX_GAP_MS = 3000;

/** Without a delay by rank two owners act at the same time, as they do where their views of the ranks differ. */
const SAME_TURN = {rankDelayMs: 0, rankJitterMs: 0};

async function expectOnePrimary(bench: FailoverBench): Promise<void> {
	await bench.clock.advance(5000);
	const highest = Math.max(...bench.servers.map(server => server.member.getStatus().term));
	const primary = bench.getPrimary();
	expect(primary?.member.getStatus().term).to.equal(highest);
	for (const host of bench.hosts.slice(0, 2)) {
		expect(await bench.clock.runUntil(host.write()), `write at ${host.name}`).to.equal(true);
	}
}

describe('competing promoters', () => {
	const doCompetingTest = (title: string, faults: Partial<PlatformFaults>, maxTerm: number) => {
		it(`end with one primary ${title}`, async () => {
			// Writes fail for minutes: two owners act at once, each fences one server, neither has a majority, both try the
			// next term at the same moment, and so on. Each is nearer to a different server, so that the split is exact.
			for (const seed of [1, 2, 3, 4, 5]) {
				const bench = await createFailoverBench({seed, settings: SAME_TURN});
				Object.assign(bench.platformFaultInjector.faults, faults);
				bench.hosts[0]!.endpoints.getLink('10.0.0.3:5432').setDelay(20);
				bench.hosts[1]!.endpoints.getLink('10.0.0.2:5432').setDelay(20);
				bench.getServer('db-1').kill();
				for (const host of bench.hosts) {
					host.failover.suspect('db-1', bench.clock.now());
				}

				await bench.until(() => bench.getPromotions().length > 0, MAX_GAP_MS);
				await expectOnePrimary(bench);

				const terms = bench.getPromotions().map(({term}) => term);
				expect(new Set(terms).size).to.equal(terms.length);
				expect(Math.max(...terms)).to.be.at.most(maxTerm);
				await bench.stop();
			}
		});
	};

	doCompetingTest('because of the claim', {}, 2);
	doCompetingTest('without the platform, because of pauses of different length', {outage: Outage.Refusing}, 6);
});

describe('paused promoter', () => {
	const doPauseTest = (title: string, isReached: (bench: FailoverBench) => boolean, promotions: number) => {
		it(`leaves the group to another promoter when paused ${title}`, async () => {
			// An acknowledged write is lost: the first owner is paused during a promotion, the second one promotes a primary
			// at a higher term, and the first one resumes where it was paused.
			const bench = await createFailoverBench();
			const [first, second] = bench.hosts;
			bench.getServer('db-1').kill();
			await bench.until(() => isReached(bench), MAX_GAP_MS, 0.5);
			first!.pauseNow();
			if (promotions === 0) {
				// Makes the second owner choose another server than the first one, although all logs are equal.
				bench.order('db-2', EndpointOrder.Drain);
			}

			await bench.until(() => second!.knowledge.getPrimary()?.name !== 'db-1' && second!.knowledge.getPrimary() !== undefined, 5000);
			const primary = bench.getPrimary();
			await bench.clock.advance(2000);
			expect(await bench.clock.runUntil(second!.write())).to.equal(true);
			await first!.resume();
			await expectOnePrimary(bench);

			expect(bench.getPrimary()).to.equal(primary);
			expect(bench.servers.slice(1).filter(({member}) => member.isPrimaryAt(member.getStatus().term))).to.have.length(1);
			expect(first!.promotions).to.have.length(promotions);
			await bench.stop();
		});
	};

	doPauseTest('before the claim', ({hosts}) => hosts[0]!.failover.getState().phase === 'promoting', 0);
	doPauseTest('after the claim', ({store}) => store.get(ObjectKind.Claim, 'filings') !== undefined, 0);
	doPauseTest('after the fence', ({servers}) => servers[1]!.member.getStatus().term === 2, 0);
	// Its primary stays: the pause comes after the promotion, and the second owner detects that primary.
	doPauseTest('after the promotion', ({servers}) => servers[1]!.member.isPrimaryAt(2), 1);
});

describe('promotion and the platform', () => {
	const doPlatformTest = (title: string, faults: Partial<PlatformFaults>) => {
		it(`does not wait for a platform that is ${title}`, async () => {
			// Writes fail for as long as the platform's outage lasts, although the servers and proxies could promote a primary.
			const bench = await createFailoverBench();
			Object.assign(bench.platformFaultInjector.faults, faults);
			bench.getServer('db-1').kill();
			await bench.until(() => bench.getPromotions().length > 0, MAX_GAP_MS);

			expect(bench.hosts[0]!.promotions[0]!.stepDurations.claimMs).to.be.at.most(bench.settings.claimMs + 1);
			await expectOnePrimary(bench);
			await bench.stop();
		});
	};

	doPlatformTest('down', {outage: Outage.Refusing});
	doPlatformTest('silent', {outage: Outage.Silent});
	doPlatformTest('slow', {requestDelayMs: 2000, answerDelayMs: 2000});
	doPlatformTest('slow only in its answers', {answerDelayMs: 120});

	it('succeeds now and at the next loss when the answer to its claim is lost', async () => {
		// The claim was stored; a promoter that took it for another host's would defer to itself.
		const bench = await createFailoverBench();
		bench.platformFaultInjector.faults.lostAnswers = 1;
		bench.getServer('db-1').kill();
		await bench.until(() => bench.getPromotions().length === 1, MAX_GAP_MS);
		expect(bench.store.get(ObjectKind.Claim, 'filings')?.value).to.deep.equal({term: 2, host: bench.hosts[0]!.name});
		bench.getServer('db-1').restart();
		await bench.clock.advance(3000);
		bench.getPrimary()!.kill();

		expect(await bench.until(() => bench.getPromotions().length === 2, MAX_GAP_MS)).to.be.below(500);
		await expectOnePrimary(bench);
		await bench.stop();
	});

	const doLostAnswerTest = (kind: ExchangeKind) => {
		it(`promotes at most one primary per term when a server's answer to ${kind} is lost`, async () => {
			// An acknowledged write is lost: the order to promote took effect, its answer was lost, another server was
			// promoted at the same term, and each of the two had a write confirmed at the same position.
			const bench = await createFailoverBench();
			const primaries = new Set<string>();
			bench.getServer('db-2').faults.dropAnswers(1, kind);
			bench.getServer('db-1').kill();
			await bench.until(() => {
				for (const {member} of bench.servers) {
					const {term} = member.getStatus();
					primaries.add(member.isPrimaryAt(term) ? `${term} ${member.address}` : '');
				}

				return bench.getPromotions().length > 0;
			}, MAX_GAP_MS);
			await expectOnePrimary(bench);

			const terms = [...primaries].filter(Boolean).map(primary => primary.split(' ')[0]);
			expect(new Set(terms).size).to.equal(terms.length);
			await bench.stop();
		});
	};

	doLostAnswerTest(ExchangeKind.Fence);
	doLostAnswerTest(ExchangeKind.Promote);
	doLostAnswerTest(ExchangeKind.Follow);
});
