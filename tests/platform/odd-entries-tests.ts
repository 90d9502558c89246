import {isIPv4} from 'node:net';
import process from 'node:process';
import {expect} from 'chai';
import fc from 'fast-check';
import {FAILOVER_LEASE_NAME, getLeadershipName} from '../../src/leadership/leadership-record.js';
import {decodeHosts, decodeLeadership} from '../../src/mirror/mirror-state.js';
import {BootSettingsError} from '../../src/platform/boot-errors.js';
import {parseBootSettings} from '../../src/platform/boot-settings.js';
import {describeEntry} from '../../src/platform/describe-entry.js';
import {decodeEndpoint, decodeRouting} from '../../src/platform/store-schemas.js';

/** Number of entries of each kind; many more are tried by hand. */
const RUNS = Number(process.env.ODD_ENTRIES ?? 400);
const SEED = 63;

const MAX_TIMER_MS = (2 ** 31) - 1;
const MAX_DESCRIPTION_LENGTH = 200;

function nest(depth: number): unknown {
	let value: unknown = [];
	for (let i = 0; i < depth; i++) {
		value = i % 2 === 0 ? [value] : {a: value};
	}

	return value;
}

const oddAddress = fc.tuple(fc.array(fc.integer({min: -1, max: 999}), {minLength: 3, maxLength: 5}), fc.integer({min: -1, max: 99_999}))
	.map(([octets, port]) => `${octets.join('.')}:${port}`);
const oddNumber = fc.constantFrom(0, -1, 0.5, 65_536, 2 ** 31, 2 ** 53, -(2 ** 53), 1e300, -1e300, Number.POSITIVE_INFINITY);
const oddText = fc.constantFrom('', ' ', 'a b', '\r\nQUERY - BEGIN', '\uD800', '\0', '__proto__', 'constructor', 'x'.repeat(10_000), '10.1.0.9:08080', '[::1]:80', 'localhost:80');

/** A value of any form. */
const odd: fc.Arbitrary<unknown> = fc.oneof(fc.jsonValue(), oddNumber, oddText, oddAddress, fc.integer({min: 1, max: 20_000}).map(depth => nest(depth)), fc.constant(undefined));

/** An entry of which some members are odd, or which is odd as a whole. */
function change(good: Readonly<Record<string, unknown>>): fc.Arbitrary<unknown> {
	const members = fc.dictionary(fc.constantFrom(...Object.keys(good)), odd, {minKeys: 1, maxKeys: 3});
	return fc.oneof({weight: 6, arbitrary: members.map(changed => ({...good, ...changed}))}, {weight: 1, arbitrary: odd});
}

const ENDPOINT = {
	backend: 'nights', address: '10.1.0.9:8080', zone: 'hall-a', revision: 'v1', capacity: 3, state: 'ready', coldRemainingMs: 0, dbRole: 'replica', sequence: 4, born: 1_790_000_000_000,
};
const ROUTE = {
	name: 'r-1', host: 'sync', pathPrefix: '/', type: 'bounded', timeoutMs: 1000, targetLatencyMs: 200, priority: 1, backend: 'nights', maxStalenessMs: 1500, allowAnonymous: false,
};
const GROUP = {name: 'nights', maxConnections: 22, syncReplicas: 1};
const WORKSPACE = {
	name: 'north', apiKeys: ['k1'], priority: 1, ratePerS: 100, burst: 60,
};
const HOST = {
	name: 'front-1', peerAddress: '10.1.0.8:8782', availabilityZone: 'hall-a', capacity: 0.675, storeRttMs: 4, gone: false, generation: 0,
};
const LEADERSHIP = {
	group: 'nights',
	primaryId: 'i-1',
	term: 3,
	epoch: 4,
	phase: 'steady',
	start: {term: 3, position: 12},
	changedBy: 'front-1',
	generation: 0,
	replicaSet: {syncReplicas: 1, members: [{endpointId: 'i-2', address: '10.1.0.9:8080'}]},
	awaited: ['i-2'],
	required: {term: 3, position: 12},
};
const LEASE = {
	holder: 'front-1', incarnation: 'x', token: 4, renewals: 7, released: false,
};

function expectAddress(address: string) {
	const [ip = '', port] = address.split(':');
	expect([isIPv4(ip), Number(port) > 0 && Number(port) <= 65_535], address).to.deep.equal([true, true]);
}

/** Guards against odd entries of other writers that end a process, or keep hosts from following the other entries. */
describe('odd entries', () => {
	function doTest<T>(what: string, entry: fc.Arbitrary<T>, check: (entry: T) => void) {
		it(`${what}: whatever they hold, they are decoded or left out, and the others are kept`, () => {
			fc.assert(fc.property(entry, check), {numRuns: RUNS, seed: SEED});
		}).timeout(600_000);
	}

	doTest('of any form can be described for the log', odd, entry => {
		expect(describeEntry(entry).length).to.be.at.most(MAX_DESCRIPTION_LENGTH);
	});

	doTest('among the endpoints', change(ENDPOINT), entry => {
		const endpoint = decodeEndpoint({meta: {name: 'i-1', modRevision: 7}, spec: entry});
		if (endpoint) {
			expectAddress(endpoint.address);
			expect(endpoint.group).to.match(/^[!-~]+$/v);
			expect(Number.isSafeInteger(endpoint.slots) && endpoint.slots > 0 && endpoint.slots <= 100_000).to.equal(true);
		}
	});

	doTest('with odd names among the endpoints', odd, name => {
		const endpoint = decodeEndpoint({meta: {name: name as string, modRevision: 7}, spec: ENDPOINT});
		expect(endpoint?.server ?? 'none').to.match(/^[!-~]+$/v);
	});

	doTest('among the routes', change(ROUTE), entry => {
		const reported: string[] = [];
		const routing = decodeRouting({
			revision: 7, routes: [ROUTE, entry, {...ROUTE, host: 'last'}], backends: [GROUP], limits: {txIdleMs: 3000},
		}, kind => reported.push(kind))!;
		expect(routing.routes.get('sync')?.statementTimeoutMs).to.equal(1000);
		expect(routing.routes.has('last')).to.equal(true);
		expect(routing.routes.size + reported.length).to.equal(3);
		for (const {statementTimeoutMs, targetLatencyMs, maxReadAgeMs, database, group} of routing.routes.values()) {
			expect(statementTimeoutMs > 0 && [statementTimeoutMs, targetLatencyMs, maxReadAgeMs].every(ms => ms >= 0 && ms <= MAX_TIMER_MS)).to.equal(true);
			expect(database + group).to.match(/^[!-~]+$/v);
		}
	});

	doTest('among the groups', change(GROUP), entry => {
		const reported: string[] = [];
		const routing = decodeRouting({
			revision: 7, routes: [ROUTE], backends: [{...GROUP, name: 'first'}, entry, {...GROUP, name: 'last'}], limits: {},
		}, kind => reported.push(kind))!;
		expect([routing.groups.has('first'), routing.groups.has('last'), routing.groups.size + reported.length]).to.deep.equal([true, true, 3]);
		expect([...routing.groups.values()].every(({maxConnections}) => Number.isFinite(maxConnections))).to.equal(true);
	});

	doTest('among the workspaces', change(WORKSPACE), entry => {
		const routing = decodeRouting({
			revision: 7, routes: [ROUTE], backends: [GROUP], tenants: [{...WORKSPACE, name: 'first', apiKeys: ['k0']}, entry], limits: {},
		}, () => undefined)!;
		expect([routing.workspaces.has('first'), routing.routes.get('sync')?.needsKey]).to.deep.equal([true, true]);
	});

	doTest('in the limits of a configuration', odd, limits => {
		const routing = decodeRouting({
			revision: 7, routes: [ROUTE], backends: [GROUP], limits,
		}, () => undefined)!;
		expect(routing.idleTransactionMs > 0 && routing.idleTransactionMs <= MAX_TIMER_MS).to.equal(true);
	});

	doTest('in the frame of a configuration', change({
		revision: 7, routes: [ROUTE], backends: [GROUP], tenants: [WORKSPACE], limits: {txIdleMs: 3000},
	}), spec => {
		const routing = decodeRouting(spec, () => undefined);
		expect(routing === undefined || Number.isSafeInteger(routing.version)).to.equal(true);
	});

	doTest('among the hosts', change(HOST), value => {
		const hosts = decodeHosts([{name: 'front-0', version: 5, value: {...HOST, name: 'front-0'}}, {name: 'front-1', version: 6, value}]);
		expect(hosts.map(({name}) => name)).to.deep.equal(['front-0', 'front-1']);
		expect(hosts[1]!.gone === true || Number(hosts[1]!.peerAddress.split(':')[1]) <= 65_535).to.equal(true);
	});

	doTest('among the records of leadership', fc.record({leadership: change(LEADERSHIP), lease: change(LEASE)}), ({leadership: value, lease}) => {
		const {leadership, duty} = decodeLeadership([
			{name: getLeadershipName('first'), version: 5, value: {...LEADERSHIP, group: 'first'}},
			{name: getLeadershipName('nights'), version: 6, value},
			{name: FAILOVER_LEASE_NAME, version: 7, value: lease},
		]);
		expect([...leadership.keys()]).to.deep.equal(['first', 'nights']);
		expect(Number.isSafeInteger(leadership.get('nights')!.epoch + 1) && Number.isSafeInteger(duty!.token + 1)).to.equal(true);
	});

	const SETTINGS = {
		nodeName: 'front-1',
		zone: 'hall-a',
		ip: '10.1.0.8',
		'listen.front': '10.1.0.8:8784',
		'listen.readiness': '10.1.0.8:8785',
		'listen.control': '10.1.0.8:8782',
		portRange: '7440,7455',
		seeds: '10.1.0.8:8782,10.2.0.6:8782',
		'platform.address': '10.200.1.7:8783',
		'cloud.address': '10.200.0.160:8783',
		contracts: 'base,drain',
		'limits.cpuShare': '0.675',
		'limits.cores': '1',
		'bounds.graceS': '6',
		'bounds.drainMs': '7000',
		'bounds.configApplyMs': '3000',
		'bounds.maxSkewMs': '12000',
	};
	const oddSetting = fc.oneof(oddAddress, oddText, oddNumber.map(String), fc.array(oddAddress, {maxLength: 3}).map(list => list.join(',')), fc.string());
	doTest('in the settings', fc.dictionary(fc.constantFrom(...Object.keys(SETTINGS)), oddSetting, {minKeys: 1, maxKeys: 2}), changed => {
		const text = Object.entries({...SETTINGS, ...changed}).map(([name, value]) => `${name}=${value}`).join('\n');
		try {
			const {callerAddress, peerAddress, storeAddress, seeds, graceMs, maxRoutingAgeMs} = parseBootSettings(text);
			for (const address of [callerAddress, peerAddress, storeAddress, ...seeds]) {
				expectAddress(address);
			}

			expect(graceMs > 0 && graceMs <= MAX_TIMER_MS && Number.isFinite(maxRoutingAgeMs)).to.equal(true);
		} catch (err) {
			if (!(err instanceof BootSettingsError)) {
				throw err;
			}
		}
	});
});
