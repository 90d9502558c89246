import {setImmediate} from 'node:timers/promises';
import {expect} from 'chai';
import {createHttpPlatform} from '../../src/object-store/http-platform.js';
import type {Platform, PlatformHost, PlatformObject} from '../../src/object-store/platform.js';
import {createPlatformServer} from '../../src/stand-ins/platform/platform-server.js';
import {createInMemoryPlatform} from '../../src/stand-ins/platform/in-memory-platform.js';
import {createObjectStore, MAX_VALUE_BYTES, type ObjectStore} from '../../src/stand-ins/platform/object-store.js';
import {createFaultInjector, type FaultInjector} from '../../src/stand-ins/platform/platform-faults.js';
import {createVirtualClock, type VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

/** The objects that a test case can use. */
type Bench = {
	readonly platform: Platform;
	readonly store: ObjectStore;
	readonly faultInjector: FaultInjector;
	readonly clock: VirtualClock;
};

type Case = {
	readonly title: string;
	run(bench: Bench): Promise<unknown>;
	/** The result as JSON, or the error's name and message. */
	readonly expected: string;
};

const TIMEOUT_MS = 3000;
const put = async (platform: Platform, name: string, value: unknown, expectedVersion = 0) => platform.put({
	kind: 'group', name, value, expectedVersion,
}, TIMEOUT_MS);
const getVersion = (object: PlatformObject) => object.version;
const getNames = ({revision, objects}: Awaited<ReturnType<Platform['list']>>) =>
	`${revision}: ${objects.map(object => `${object.name}@${object.version}${object.deleted ? ' deleted' : ''}`).join(', ')}`;

/** Returns an error's name and the last line of its message; the lines of its causes come before that one. */
const getErrorLine = (err: unknown) => {
	const {name, message} = err as Error;
	return `${name}: ${message.split('\n').at(-1)}`;
};

/** Waits in turns of the event loop for a condition that depends on real sockets. */
const until = async (condition: () => boolean) => {
	while (!condition()) {
		await setImmediate();
	}
};

const host: PlatformHost = {
	name: 'h1', role: 'proxy', address: '127.0.0.1:7001', availabilityZone: 'hall-a', state: 'live',
};

const cases: readonly Case[] = [
	{
		title: 'gets what was put, at the store-wide revision',
		async run({platform}) {
			await put(platform, 'a', {x: 1});
			await put(platform, 'b', {x: 2});
			return platform.get('group', 'b', TIMEOUT_MS);
		},
		expected: '{"kind":"group","name":"b","version":2,"value":{"x":2}}',
	},
	{title: 'returns undefined for an absent object', run: async ({platform}) => platform.get('group', 'a/b?c', TIMEOUT_MS), expected: 'undefined'},
	{
		title: 'supports names with any characters, and separates the kinds',
		async run({platform}) {
			await put(platform, 'a/b?c%', 1);
			return [await platform.get('group', 'a/b?c%', TIMEOUT_MS), await platform.get('claim', 'a/b?c%', TIMEOUT_MS)].map(object => object?.value);
		},
		expected: '[1,null]',
	},
	{
		title: 'rejects a put with another version',
		async run({platform}) {
			await put(platform, 'a', 1);
			return put(platform, 'a', 2);
		},
		expected: 'PlatformConflictError: group a is no longer at version 0',
	},
	{title: 'rejects a put with a version for an absent object', run: async ({platform}) => put(platform, 'a', 1, 3), expected: 'PlatformConflictError: group a is no longer at version 3'},
	{
		title: 'rejects a delete with another version',
		async run({platform}) {
			await put(platform, 'a', 1);
			return platform.delete('group', 'a', 7, TIMEOUT_MS);
		},
		expected: 'PlatformConflictError: group a is no longer at version 7',
	},
	{
		title: 'rejects a value over a megabyte',
		run: async ({platform}) => put(platform, 'a', 'x'.repeat(MAX_VALUE_BYTES)),
		expected: 'PlatformRefusedError: the platform refused put group a: the value is over 1048576 bytes',
	},
	{
		title: 'accepts a value of just a megabyte',
		run: async ({platform}) => getVersion(await put(platform, 'a', 'x'.repeat(MAX_VALUE_BYTES - 2))),
		expected: '1',
	},
	{
		title: 'lists the existing objects by prefix',
		async run({platform}) {
			for (const name of ['a1', 'a2', 'b1', 'a3']) {
				await put(platform, name, 1);
			}

			await platform.delete('group', 'a2', 2, TIMEOUT_MS);
			return getNames(await platform.list('group', 'a', TIMEOUT_MS));
		},
		expected: '"5: a1@1, a3@4"',
	},
	{
		title: 'lists a thousand objects of a kilobyte',
		async run({platform}) {
			for (let i = 0; i < 1000; i++) {
				await put(platform, `g${i}`, 'x'.repeat(1000));
			}

			const {objects} = await platform.list('group', '', TIMEOUT_MS);
			return objects.length;
		},
		expected: '1000',
	},
	{
		title: 'returns a watch at once with changes and deletions after the revision',
		async run({platform}) {
			await put(platform, 'a', 1);
			await put(platform, 'b', 1);
			await put(platform, 'a', 2, 1);
			await platform.delete('group', 'b', 2, TIMEOUT_MS);
			return [getNames(await platform.watch('group', 2, 2000, TIMEOUT_MS)), getNames(await platform.watch('claim', 2, 0, TIMEOUT_MS))];
		},
		expected: '["4: a@3, b@4 deleted","4: "]',
	},
	{
		title: 'returns a waiting watch when an object of its kind changes, and not for other kinds',
		async run({platform, store}) {
			const watch = platform.watch('group', 0, 2000, TIMEOUT_MS);
			await until(() => store.waitingWatches === 1);
			await platform.put({
				kind: 'claim', name: 'a', value: 1, expectedVersion: 0,
			}, TIMEOUT_MS);
			await put(platform, 'b', 1);
			return getNames(await watch);
		},
		expected: '"2: b@2"',
	},
	{
		title: 'returns a waiting watch without objects when its wait ends',
		async run({platform, store, clock}) {
			const watch = platform.watch('group', 0, 2000, TIMEOUT_MS);
			await until(() => store.waitingWatches === 1);
			await clock.advance(2000);
			return getNames(await watch);
		},
		expected: '"0: "',
	},
	{
		title: 'lists hosts with a lag',
		async run({platform, store, clock}) {
			store.hostLagMs = 5000;
			store.setHosts([host]);
			await clock.advance(6000);
			store.setHosts([host, {...host, name: 'h2', state: 'leaving'}]);
			const before = await platform.hosts(TIMEOUT_MS);
			const again = await platform.hosts(TIMEOUT_MS);
			await clock.advance(5000);
			const after = await platform.hosts(TIMEOUT_MS);
			return [before, again, after].map(hosts => hosts.map(({name, state}) => `${name} ${state}`).join(', '));
		},
		expected: '["h1 live","h1 live","h1 live, h2 leaving"]',
	},
	{
		title: 'counts each call once, including a waiting watch',
		async run({platform, store}) {
			await put(platform, 'a', 1);
			await platform.watch('group', 0, 2000, TIMEOUT_MS);
			await platform.list('group', '', TIMEOUT_MS);
			return store.calls;
		},
		expected: '{"get":0,"list":1,"put":1,"delete":0,"watch":1,"hosts":0}',
	},
	{
		title: 'rejects at once in a refusing outage',
		async run({platform, faultInjector}) {
			faultInjector.faults.outage = 'refusing';
			return platform.get('group', 'a', TIMEOUT_MS);
		},
		expected: 'PlatformError: the platform gave no answer to get group a',
	},
	{
		title: 'rejects at its timeout in a silent outage',
		async run({platform, faultInjector, clock}) {
			faultInjector.faults.outage = 'silent';
			return clock.runUntil(platform.hosts(TIMEOUT_MS));
		},
		expected: 'PlatformError: the platform gave no answer to hosts',
	},
	{
		title: 'loses the response to a change that took effect, once',
		async run({platform, faultInjector, clock, store}) {
			faultInjector.faults.lostAnswers = 1;
			const lost = put(platform, 'a', 1);
			await until(() => store.calls.put === 1);
			const errorName = await clock.runUntil(lost.catch((err: unknown) => (err as Error).name));
			return [errorName, getVersion(await put(platform, 'a', 2, 1))];
		},
		expected: '["PlatformError",2]',
	},
];

describe('platform contract', () => {
	const doTest = ({title, run, expected}: Case, create: (store: ObjectStore, faultInjector: FaultInjector, clock: VirtualClock) => Promise<{platform: Platform; close(): Promise<void>}>) => {
		it(title, async () => {
			const clock = createVirtualClock();
			const store = createObjectStore({clock});
			const faultInjector = createFaultInjector({clock});
			const {platform, close} = await create(store, faultInjector, clock);
			try {
				const result = await run({
					platform, store, faultInjector, clock,
				}).then(value => JSON.stringify(value), getErrorLine);
				expect(result ?? 'undefined').to.equal(expected);
			} finally {
				await close();
			}
		});
	};

	describe('in memory', () => {
		for (const example of cases) {
			doTest(example, async (store, sharedFaultInjector, clock) => ({
				platform: createInMemoryPlatform({store, clock, sharedFaultInjector}),
				async close() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			}));
		}
	});

	describe('over HTTP', () => {
		for (const example of cases) {
			doTest(example, async (store, faultInjector, clock) => {
				const app = createPlatformServer({store, faultInjector});
				const baseUrl = await app.listen({host: '127.0.0.1', port: 0});
				const platform = createHttpPlatform({baseUrl, clock});
				return {
					platform,
					async close() {
						await platform.stop?.();
						await app.close();
					},
				};
			});
		}
	});
});
