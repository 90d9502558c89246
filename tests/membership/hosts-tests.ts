import {expect} from 'chai';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createHosts, getPollIntervalMs, type LiveHosts} from '../../src/membership/create-hosts.js';
import type {Platform, PlatformHost} from '../../src/object-store/platform.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createVirtualClock, type VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const createHost = (name: string, more: Partial<PlatformHost> = {}): PlatformHost => ({
	name, role: 'proxy', address: `${name}:7000`, availabilityZone: 'hall-a', state: 'live', ...more,
});

describe('hosts', () => {
	const self = createHost('one');
	let clock: VirtualClock;
	let list: PlatformHost[] | undefined;
	let reads: number;
	let hosts: LiveHosts;

	beforeEach(async () => {
		clock = createVirtualClock();
		reads = 0;
		const platform: Pick<Platform, 'hosts'> = {
			async hosts() {
				reads++;
				if (!list) {
					throw new Error('the store is down');
				}

				return list;
			},
		};
		list = [self, createHost('two'), createHost('three')];
		hosts = createHosts({
			self, platform: platform as Platform, clock, random: createSeededRandom(1), log: createSilentLog(),
		});
		await hosts.start();
	});
	afterEach(async () => hosts.stop());

	const getUsable = () => hosts.getUsable(clock.now()).map(host => host.name).join(' ');

	/** Replaces the list with the result of `change`, and checks which hosts are known and usable after the next read. */
	const doTestList = (title: string, change: () => PlatformHost[] | undefined, known: string, usable: string) => {
		it(title, async () => {
			list = change();
			await clock.advance(2200);
			expect(hosts.getAll().map(host => host.name).join(' ')).to.equal(known);
			expect(getUsable()).to.equal(usable);
		});
	};

	doTestList('adds a new host', () => [...list!, createHost('four')], 'two three four one', 'two three four one');
	doTestList('removes a host that is no longer on the list', () => [self, createHost('two')], 'two one', 'two one');
	doTestList('gives no work to a host that is leaving', () => [self, createHost('two', {state: 'leaving'})], 'two one', 'one');
	doTestList('gives itself no work while it is leaving', () => [createHost('one', {state: 'leaving'}), createHost('two')], 'two one', 'two');
	doTestList('includes itself while the list lags', () => [createHost('two')], 'two one', 'two one');
	doTestList('ignores endpoints', () => [self, createHost('db', {role: 'endpoint'})], 'one', 'one');
	doTestList('keeps the last list while the store is down', () => undefined, 'two three one', 'two three one');
	doTestList('keeps the last list when the platform shows no proxy at all', () => [], 'two three one', 'two three one');

	it('knows which endpoints are leaving', async () => {
		list = [self, createHost('db', {role: 'endpoint', state: 'leaving'}), createHost('db-two', {role: 'endpoint'})];
		await clock.advance(2200);
		const leaving = ['db:7000', 'db-two:7000', 'gone:7000'].map(address => hosts.isEndpointLeaving(address));
		expect(leaving).to.deep.equal([true, false, false]);
	});

	// A host dies and stays on the lagging list. Without a backoff, each request sent to it would fail.
	// All calls on its broken link fail together and count as one failure.
	it('doubles the backoff of an unreachable host up to a limit, and ends it when the host responds', async () => {
		const backoffs: number[] = [];
		for (let failure = 0; failure < 7; failure++) {
			hosts.reportUnreachable('two:7000', clock.now());
			hosts.reportUnreachable('two:7000', clock.now());
			const failedAt = clock.now();
			while (!getUsable().includes('two')) {
				await clock.advance(50);
			}

			backoffs.push(clock.now() - failedAt);
		}

		expect(backoffs).to.deep.equal([250, 500, 1000, 2000, 4000, 5000, 5000]);
		hosts.reportUnreachable('two:7000', clock.now());
		expect(getUsable()).to.equal('three one');
		hosts.reportReachable('two:7000');
		expect(getUsable()).to.equal('two three one');
	});

	it('never applies a backoff to itself', () => {
		hosts.reportUnreachable(self.address, clock.now());
		expect(getUsable()).to.equal('two three one');
	});

	it('reads the list about every 2 s', async () => {
		await clock.advance(60_000);
		expect(reads).to.be.within(28, 34);
	});

	const doTestInterval = (proxies: number, expectedMs: number) => {
		it(`reads every ${expectedMs} ms among ${proxies} proxies`, () => {
			expect(getPollIntervalMs(proxies, 2000, 0.5)).to.equal(expectedMs);
		});
	};

	doTestInterval(9, 2000);
	doTestInterval(600, 2000);
	doTestInterval(900, 3000);
	doTestInterval(1800, 6000);
});
