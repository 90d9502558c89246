import {expect} from 'chai';
import {createFleet, type Fleet, type FleetProxy} from './configuration-fleet.js';

type Example = {
	readonly title: string;
	/** Runs for a minute of virtual time. */
	run(fleet: Fleet, proxies: readonly FleetProxy[]): Promise<void>;
	/** Maximum calls to the store that a proxy may make in that minute, including one in its last moment. */
	readonly maxCalls: number;
};

const MINUTE_MS = 60_000;

const countAttempts = (proxies: readonly FleetProxy[]) => proxies.reduce((sum, {platform}) => sum + platform.faultInjector.callCount, 0);

const examples: readonly Example[] = [
	{
		title: 'quiet',
		async run({clock}) {
			await clock.advance(MINUTE_MS);
		},
		maxCalls: 31,
	},
	{
		title: 'ten changes a second',
		async run({clock, put}) {
			for (let i = 0; i < 600; i++) {
				put('a', i);
				await clock.advance(100);
			}
		},
		maxCalls: 61,
	},
	{
		title: 'an outage that refuses at once',
		async run({clock, sharedFaultInjector}) {
			sharedFaultInjector.faults.outage = 'refusing';
			await clock.advance(MINUTE_MS);
		},
		maxCalls: 31,
	},
	{
		title: 'an outage that is silent',
		async run({clock, sharedFaultInjector}) {
			sharedFaultInjector.faults.outage = 'silent';
			await clock.advance(MINUTE_MS);
		},
		maxCalls: 31,
	},
];

describe('configuration watch', () => {
	const doTest = ({title, run, maxCalls}: Example) => {
		it(`calls the store at most ${maxCalls} times a minute: ${title}`, async () => {
			const fleet = createFleet({size: 9});
			fleet.put('a', 1000);
			const proxies = await fleet.startAll();
			const before = countAttempts(proxies);
			await run(fleet, proxies);
			await fleet.stop();
			expect((countAttempts(proxies) - before) / proxies.length).to.be.within(1, maxCalls);
		});
	};

	for (const example of examples) {
		doTest(example);
	}

	it('logs a malformed object once, however often it is listed', async () => {
		const fleet = createFleet({size: 1});
		fleet.put('a', 1000);
		fleet.store.put({
			kind: 'group', name: 'b', value: 'text', expectedVersion: 0,
		});
		const [proxy] = await fleet.startAll();
		await fleet.clock.advance(4 * 3_600_000);
		await fleet.stop();
		expect(proxy!.errors).to.deep.equal([
			'configuration: refused a malformed group {"source":"store","group":"b","version":2,"reason":"it: Invalid input: expected object, received string"}',
		]);
	});

	it('repairs by a later list what every watch missed', async () => {
		// The platform loses one notification; watches from later revisions never return that change.
		const fleet = createFleet({size: 1});
		fleet.put('a', 1000);
		const [proxy] = await fleet.startAll();
		proxy!.platform.faultInjector.silenceOpenWatches();
		proxy!.configuration.applyChanges({revision: 2, objects: []}, fleet.clock.now());
		fleet.put('b', 1000);
		await fleet.clock.advance(10_000);
		const before = proxy!.show();
		await fleet.clock.advance(2 * 3_600_000);
		await fleet.stop();
		expect([before, proxy!.show()]).to.deep.equal(['a@1', 'a@1 b@2']);
	});

	it('goes on after a listener fails', async () => {
		const fleet = createFleet({size: 1});
		const [proxy] = await fleet.startAll();
		proxy!.configuration.onChange(() => {
			throw new Error('listener');
		});
		fleet.put('a', 1000);
		fleet.put('b', 1000);
		await fleet.clock.advance(3000);
		await fleet.stop();
		expect([proxy!.show(), proxy!.errors.length]).to.deep.equal(['a@1 b@2', 2]);
	});
});
