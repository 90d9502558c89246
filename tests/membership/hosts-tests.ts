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

	/** The list becomes what `change` gives, is read again, and leaves these hosts known and usable. */
	const doTestList = (title: string, change: () => PlatformHost[] | undefined, known: string, usable: string) => {
		it(title, async () => {
			list = change();
			await clock.advance(2200);
			expect(hosts.getAll().map(host => host.name).join(' ')).to.equal(known);
			expect(getUsable()).to.equal(usable);
		});
	};

	doTestList('takes a host that is new', () => [...list!, createHost('four')], 'two three four one', 'two three four one');
	doTestList('drops a host that is gone', () => [self, createHost('two')], 'two one', 'two one');
	doTestList('gives no work to a host that leaves', () => [self, createHost('two', {state: 'leaving'})], 'two one', 'one');
	doTestList('gives itself no work when it leaves', () => [createHost('one', {state: 'leaving'}), createHost('two')], 'two one', 'two');
	doTestList('counts itself while the list lags', () => [createHost('two')], 'two one', 'two one');
	doTestList('passes over endpoints', () => [self, createHost('db', {role: 'endpoint'})], 'one', 'one');
	doTestList('keeps the last list while the store is down', () => undefined, 'two three one', 'two three one');
	doTestList('keeps the last list when the platform shows no proxy at all', () => [], 'two three one', 'two three one');

	it('tells which endpoints leave', async () => {
		list = [self, createHost('db', {role: 'endpoint', state: 'leaving'}), createHost('db-two', {role: 'endpoint'})];
		await clock.advance(2200);
		const leaving = ['db:7000', 'db-two:7000', 'gone:7000'].map(address => hosts.isEndpointLeaving(address));
		expect(leaving).to.deep.equal([true, false, false]);
	});

	// A host dies and stays on the lagging list: requests sent to it fail one after the other unless it is left alone
	// for a while; all calls on its broken link fail together and count once.
	it('leaves an unreachable host alone for longer and longer, and at once no more when it answers', async () => {
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

	it('never leaves itself alone', () => {
		hosts.reportUnreachable(self.address, clock.now());
		expect(getUsable()).to.equal('two three one');
	});

	it('reads the list again every 2 s, about', async () => {
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
