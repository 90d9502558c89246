import {expect} from 'chai';
import {Registry} from 'prom-client';
import type {AcquireRequest} from '../../src/links/endpoint-pool.js';
import type {SessionLink} from '../../src/links/link-session.js';
import {createCheckoutServer, type CheckoutServerOptions} from '../../src/connection-sharing/checkout-server.js';
import {createEarlierVersions, VersionSign} from '../../src/connection-sharing/earlier-versions.js';
import {createPromVersionMetrics} from '../../src/connection-sharing/prom-version-metrics.js';
import {createRemoteLink} from '../../src/connection-sharing/remote-link.js';
import {createRemoteRead, type RemoteReadOptions} from '../../src/connection-sharing/remote-read.js';
import {createLineLog} from '../../src/log/line-log.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createUnreachableHosts} from '../../src/membership/unreachable-hosts.js';
import {createCallError, throwPeerUnreachable, UNKNOWN_KIND_REASON} from '../../src/peers/peer-errors.js';
import type {Peers} from '../../src/peers/peers.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {Access} from '../../src/statements/statement.js';

const POOL_HOST = '10.1.0.8:7000';

/** A shape that hosts of earlier versions cannot run, with a text of a caller that no log line and no metric may hold. */
const SHAPE = {access: Access.Read, shape: 'hush READ q1'} as const;
const REQUEST = {id: 'c1', command: {kind: 'execute', args: 'hush'}} as const;

function createBench() {
	const clock = createVirtualClock();
	const registry = new Registry();
	const lines: string[] = [];
	const earlierVersions = createEarlierVersions({
		clock,
		log: createLineLog((sentence, fields) => {
			lines.push(`${sentence} ${JSON.stringify(fields)}`);
		}),
		metrics: createPromVersionMetrics(registry),
	});
	const readCounts = async () => {
		const text = await registry.metrics();
		expect(`${text} ${lines.join(' ')}`).to.not.include('hush');
		return text.split('\n').filter(line => /^[a-z].* [1-9]\d*$/v.test(line)).map(line => line.replace('aldercroft_', ''));
	};

	return {
		clock, lines, earlierVersions, readCounts,
	};
}

/** Peers of which each refuses every call as unknown, or cannot be reached. */
function createRefusingPeers(isReached: boolean): Peers {
	return {
		async call(address: string, kind: string) {
			if (isReached) {
				throw createCallError(address, kind, UNKNOWN_KIND_REASON, false);
			}

			return throwPeerUnreachable(address);
		},
	} as unknown as Peers;
}

describe('requests between hosts of two versions', () => {
	it('are counted each, and logged once a minute for each host', async () => {
		const {clock, lines, earlierVersions, readCounts} = createBench();
		for (const address of ['a', 'a', 'b', 'a']) {
			earlierVersions.note(VersionSign.Refused, address);
		}

		await clock.advance(60_000);
		earlierVersions.note(VersionSign.Refused, 'a');
		earlierVersions.note(VersionSign.Received, 'a');
		expect(lines).to.deep.equal([
			'loans: a host of an earlier version cannot run a prepared statement {"host":"a"}',
			'loans: a host of an earlier version cannot run a prepared statement {"host":"b"}',
			'loans: a host of an earlier version cannot run a prepared statement {"host":"a"}',
			'loans: a host of an earlier version sent a prepared statement {"host":"a"}',
		]);
		expect(await readCounts()).to.deep.equal(['earlier_version_requests_total{sign="refused"} 5', 'earlier_version_requests_total{sign="received"} 1']);
	});

	function doTestRefused(name: string, isReached: boolean, expected: readonly string[]) {
		it(`are noted ${name}, on a checkout`, async () => {
			const {earlierVersions, readCounts} = createBench();
			const link = createRemoteLink({
				peers: createRefusingPeers(isReached), poolHost: POOL_HOST, checkoutId: 'l1', single: true, onReceived() {}, earlierVersions, // eslint-disable-line @typescript-eslint/no-empty-function
			});
			const {end} = await link.exchange(REQUEST, {values: new Map(), prepared: SHAPE});
			expect(end.kind === 'error' && end.code).to.equal('overloaded');
			expect(await readCounts()).to.deep.equal(expected);
		});

		it(`are noted ${name}, for a read`, async () => {
			const {clock, earlierVersions, readCounts} = createBench();
			const read = createRemoteRead({
				endpointId: 'i-1',
				acquireRequest: {
					priority: 1, until: clock.now() + 500, values: new Map(), single: true,
				} satisfies AcquireRequest,
				peers: createRefusingPeers(isReached),
				unreachable: createUnreachableHosts(),
				clock,
				getPoolHosts: () => [POOL_HOST],
				runOnOwn: async () => undefined,
				onReceived() {}, // eslint-disable-line @typescript-eslint/no-empty-function
				onUnreachable() {}, // eslint-disable-line @typescript-eslint/no-empty-function
				earlierVersions,
			} satisfies RemoteReadOptions);
			const {end} = await clock.runUntil(read.exchange(REQUEST, {values: new Map(), prepared: SHAPE}));
			expect(end.kind === 'error' && end.code).to.equal('overloaded');
			expect(await readCounts()).to.deep.equal(expected);
		});
	}

	doTestRefused('where the pool host does not know the call', true, ['earlier_version_requests_total{sign="refused"} 1']);
	doTestRefused('nowhere else, as where the pool host is not reached', false, []);

	function doTestReceived(name: string, kind: string, shape: string, expected: readonly string[]) {
		it(name, async () => {
			const {clock, earlierVersions, readCounts} = createBench();
			const handlers = new Map<string, (req: unknown, from: unknown) => Promise<unknown>>();
			createCheckoutServer({
				peers: {
					handle(handled: string, handler: (req: unknown, from: unknown) => Promise<unknown>) {
						handlers.set(handled, handler);
					},
				},
				directory: {get: (): SessionLink | undefined => undefined},
				clock,
				log: createSilentLog(),
				earlierVersions,
			} as unknown as CheckoutServerOptions);
			const request = {id: 'c1', command: {kind: 'execute', name: `r_${shape}`, args: '7'}};
			await handlers.get(kind)!({
				endpointId: 'i-1', loan: 'l1', request, needed: {values: [], prepared: {access: Access.Read, shape}},
			}, {address: 'remote:7000'});
			expect(await readCounts()).to.deep.equal(expected);
		});
	}

	const received = ['earlier_version_requests_total{sign="received"} 1'];
	doTestReceived('are noted where a remote host reads with a shape that this version sends otherwise', 'loan-run', SHAPE.shape, received);
	doTestReceived('are noted where a remote host uses a checkout with such a shape', 'loan-exchange', SHAPE.shape, received);
	doTestReceived('are not noted where both hosts are of this version', 'loan-run-shape', SHAPE.shape, []);
	doTestReceived('are not noted for a shape that every version sends alike', 'loan-exchange', 'q1', []);
});
