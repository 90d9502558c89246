import {expect} from 'chai';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createFailoverBench, type FailoverBench} from './failover-bench.js';

const HOUR_MS = 3_600_000;

/** The longest pause of a healthy process, in milliseconds. */
const MAX_PAUSE_MS = 500;

/** Repeats a step until the bench's clock reaches `endsAt`. */
async function repeat(bench: FailoverBench, endsAt: number, step: () => Promise<void>): Promise<void> {
	while (bench.clock.now() < endsAt) {
		await step();
	}
}

describe('an hour without a loss of the primary', () => {
	it('has no promotion despite jitter and pauses of hosts and servers', async () => {
		// A healthy primary is replaced: a proxy or the primary, or both in turn, pause for half a second for garbage
		// collection, while answers on one link take fifty times longer than on another.
		const bench = await createFailoverBench();
		const random = createSeededRandom(7);
		const between = (min: number, max: number) => min + (random.fraction() * (max - min));
		const pick = <T>(from: readonly T[]) => from[Math.floor(random.fraction() * from.length)]!;
		const endsAt = bench.clock.now() + HOUR_MS;
		let pauses = 0;

		const pauseHosts = bench.hosts.map(async host => repeat(bench, endsAt, async () => {
			await bench.clock.sleep(between(1000, 20_000));
			await host.pause(between(50, MAX_PAUSE_MS));
			pauses++;
		}));
		const pauseServers = bench.servers.map(async server => repeat(bench, endsAt, async () => {
			await bench.clock.sleep(between(1000, 20_000));
			server.faults.freeze();
			await bench.clock.sleep(between(50, MAX_PAUSE_MS));
			server.faults.thaw();
			pauses++;
		}));
		const jitter = repeat(bench, endsAt, async () => {
			await bench.clock.sleep(between(50, 500));
			pick(bench.hosts).endpoints.getLink(pick(bench.servers).address).setDelay(random.fraction() < 0.5 ? 0 : between(0, 80));
		});
		const silence = repeat(bench, endsAt, async () => {
			await bench.clock.sleep(between(10_000, 60_000));
			pick(bench.servers).silenceConnections(pick(bench.hosts).name);
		});
		const writes = repeat(bench, endsAt, async () => {
			await bench.clock.sleep(between(100, 3000));
			await bench.hosts[pauses % 2]!.write();
		});

		await bench.clock.runUntil(Promise.all([...pauseHosts, ...pauseServers, jitter, silence, writes]), HOUR_MS * 2);
		expect(pauses).to.be.above(1500);
		expect(bench.getPromotions()).to.deep.equal([]);
		expect(bench.servers.map(server => server.member.getStatus().term)).to.deep.equal([1, 1, 1]);
		await bench.stop();
	});
});
