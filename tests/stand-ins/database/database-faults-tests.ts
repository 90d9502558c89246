import {expect} from 'chai';
import {isEndpointError} from '../../../src/endpoints/endpoint-errors.js';
import type {EndpointConnection} from '../../../src/endpoints/endpoint.js';
import {createSeededRandom} from '../../../src/random/seeded-random.js';
import {createDatabaseGroup, type DatabaseGroup} from '../../../src/stand-ins/database/database-group.js';
import type {DatabaseServerParameters} from '../../../src/stand-ins/database/database-server.js';
import {createInMemoryEndpoints, type InMemoryEndpoints} from '../../../src/stand-ins/database/in-memory-endpoints.js';
import {createVirtualClock, type VirtualClock} from '../../../src/stand-ins/time/virtual-clock.js';
import {formatKeyed, formatStatus, INSERT} from './contract-steps.js';

const SERVERS = ['10.0.0.1:5432', '10.0.0.2:5432'];

type Bench = {
	readonly clock: VirtualClock;
	readonly group: DatabaseGroup;
	readonly endpoints: InMemoryEndpoints;
	connect(server?: number): Promise<EndpointConnection>;
	/** Advances time until the exchange ends, and returns its outcome. */
	end(exchange: Promise<string>): Promise<string>;
	/** Does the same, and adds how many milliseconds the exchange took. */
	time(exchange: Promise<string>): Promise<string>;
};

const insert = async (connection: EndpointConnection, requestId: string, timeoutMs = 1000) => formatKeyed(await connection.write({
	requestId, digest: 'd', statement: INSERT, values: ['ana', 7], term: 1,
}, timeoutMs));

const status = async (connection: EndpointConnection, timeoutMs = 1000) => formatStatus(await connection.status(timeoutMs));

describe('faults and parameters of the stand-in group', () => {
	const doTest = (title: string, parameters: Partial<DatabaseServerParameters>, run: (bench: Bench) => Promise<readonly string[]>, expected: readonly string[]) => {
		it(title, async () => {
			const clock = createVirtualClock(0);
			const group = createDatabaseGroup({
				addresses: SERVERS, clock, random: createSeededRandom(1), serverParameters: {serviceMs: 0, connectMs: 0, ...parameters},
			});
			const endpoints = createInMemoryEndpoints(group.servers, {clock, latencyMs: 1, host: 'hall-a-1'});
			const bench: Bench = {
				clock,
				group,
				endpoints,
				connect: async (server = 0) => clock.runUntil(endpoints.getEndpoint(SERVERS[server]!).connect(1000)),
				end: async exchange => clock.runUntil(exchange.catch((err: unknown) => isEndpointError(err) ? `no answer, sent ${err.sent}` : String(err))),
				async time(exchange) {
					const start = clock.now();
					const outcome = await bench.end(exchange);
					return `${Math.round(clock.now() - start)} ms: ${outcome}`;
				},
			};
			expect(await run(bench)).to.deep.equal(expected);
			group.stop();
		});
	};

	doTest('opening a connection takes connectMs and a round trip, an exchange takes a round trip', {connectMs: 10}, async ({clock, endpoints, group, time, connect}) => {
		const lines = [
			await time(endpoints.getEndpoint(SERVERS[0]!).connect(1000).then(() => 'open')),
			await time(endpoints.getEndpoint(SERVERS[0]!).connect(5).then(() => 'open')),
			await time(status(await connect())),
		];
		await clock.advance(50);
		return [...lines, `${group.servers[0]!.connections} open`];
	}, ['12 ms: open', '5 ms: no answer, sent false', '2 ms: primary 1/1 of 1', '2 open']);

	doTest('statements beyond the number of slots wait for a slot', {slots: 1, serviceMs: 100}, async ({connect, clock, group}) => {
		const connections = [await connect(), await connect(), await connect()];
		const writes = connections.map(async (connection, i) => insert(connection, `${i}`));
		const ends = [];
		for (const write of writes) {
			await clock.runUntil(write);
			ends.push(group.servers[0]!.member.log.end.position);
		}

		return ends.map(String);
	}, ['2', '3', '4']);

	doTest('an entry arrives after the replication lag, also if the lag is changed meanwhile', {replicationLagMs: 500}, async ({connect, clock, group}) => {
		const [primary, replica] = [await connect(), await connect(1)];
		await clock.advance(500);
		await clock.runUntil(insert(primary, 'a'));
		const lines = [await clock.runUntil(status(replica))];
		await clock.advance(490);
		lines.push(await clock.runUntil(status(replica)));
		await clock.advance(10);
		lines.push(await clock.runUntil(status(replica)));
		await clock.runUntil(insert(primary, 'b'));
		group.servers[1]!.setReplicationLag(20);
		await clock.advance(20);
		lines.push(await clock.runUntil(status(replica)));
		return lines;
	}, ['replica 1/1 of 1', 'replica 1/1 of 1', 'replica 1/2 of 1', 'replica 1/3 of 1']);

	doTest('a frozen server pauses in the middle of a statement and resumes when thawed', {serviceMs: 100}, async ({connect, clock, group, time}) => {
		const connection = await connect();
		const write = insert(connection, 'a');
		await clock.advance(10);
		group.servers[0]!.faults.freeze();
		await clock.advance(500);
		const before = group.servers[0]!.member.log.end.position;
		group.servers[0]!.faults.thaw();
		return [`${before}`, await time(write)];
	}, ['1', '1 ms: ran [{"member":"ana","score":7}] primary 1/2 of 1']);

	doTest('a fenced primary does not commit the running statement', {serviceMs: 100}, async ({connect, clock, end}) => {
		const [connection, control] = [await connect(), await connect()];
		const write = insert(connection, 'a');
		await clock.advance(10);
		await clock.runUntil(control.fence(2, 1000));
		return [await end(write)];
	}, ['not-primary replica 1/1 of 2']);

	doTest('a killed server loses the running statement', {serviceMs: 100}, async ({connect, clock, group, time}) => {
		const write = insert(await connect(), 'a');
		await clock.advance(10);
		group.servers[0]!.kill();
		const lines = [await time(write)];
		group.servers[0]!.restart();
		await clock.advance(500);
		lines.push(await time(status(await connect())));
		return lines;
	}, ['1 ms: no answer, sent true', '2 ms: primary 1/1 of 1']);

	// Two retries of one request wait for its first attempt, which is rolled back. If both found the key absent before
	// either inserted it, the request would run twice.
	for (const slots of [1, 3]) {
		doTest(`one of two retries that wait for a rolled-back key runs, with ${slots} slots`, {slots, serviceMs: 10}, async ({connect, clock, end}) => {
			const [first, second, third] = [await connect(), await connect(), await connect()];
			await clock.runUntil(first.begin({requestId: 'a', digest: 'd', term: 1}, 1000));
			const retries = [insert(second, 'a'), insert(third, 'a')];
			await clock.advance(50);
			await clock.runUntil(first.rollback(1000));
			return [await end(retries[0]!), await end(retries[1]!), await end(status(first))];
		}, [
			'ran [{"member":"ana","score":7}] primary 1/2 of 1',
			'found [{"member":"ana","score":7}] primary 1/2 of 1',
			'primary 1/2 of 1',
		]);
	}

	// A proxy that is cut off from the server dies in the middle of a transaction, so the server is not notified. The key
	// and the rows must not stay locked forever.
	doTest('a transaction that is idle for too long is rolled back', {idleInTransactionMs: 300}, async ({connect, clock, end}) => {
		const [first, second] = [await connect(), await connect()];
		await clock.runUntil(first.begin({requestId: 'a', digest: 'd', term: 1}, 1000));
		return [await end(insert(second, 'a')), `usable ${first.usable}`];
	}, ['ran [{"member":"ana","score":7}] primary 1/2 of 1', 'usable false']);

	doTest('an exchange gets no answer if its key is in flight for longer than its timeout', {}, async ({connect, clock, time}) => {
		const [first, second] = [await connect(), await connect()];
		await clock.runUntil(first.begin({requestId: 'a', digest: 'd', term: 1}, 1000));
		return [await time(insert(second, 'a', 40)), `usable ${second.usable}`];
	}, ['40 ms: no answer, sent true', 'usable false']);

	// TCP delivers a packet that was sent during a cut once the cut ends, long after its sender has timed out.
	doTest('a write sent over a cut link takes effect when the cut ends', {}, async ({connect, clock, endpoints, time}) => {
		const connection = await connect();
		const link = endpoints.getLink(SERVERS[0]!);
		link.cut();
		const lines = [await time(insert(connection, 'a', 50)), await time(endpoints.getEndpoint(SERVERS[0]!).connect(30).then(() => 'open'))];
		link.heal();
		await clock.advance(10);
		lines.push(await time(status(await connect())));
		return lines;
	}, ['50 ms: no answer, sent true', '30 ms: no answer, sent false', '2 ms: primary 1/2 of 1']);

	doTest('silencing a link affects only its open connections', {}, async ({connect, endpoints, time}) => {
		const connection = await connect();
		endpoints.getLink(SERVERS[0]!).silence();
		return [await time(status(connection, 50)), await time(status(await connect()))];
	}, ['50 ms: no answer, sent true', '2 ms: primary 1/1 of 1']);

	doTest('a link delays packets, and drops answers of exchanges that took effect', {}, async ({connect, endpoints, time}) => {
		const [first, second] = [await connect(), await connect()];
		const link = endpoints.getLink(SERVERS[0]!);
		link.setDelay(20);
		link.dropAnswers(1, 'write');
		return [await time(status(first)), await time(insert(first, 'a', 100)), await time(insert(second, 'a'))];
	}, ['42 ms: primary 1/1 of 1', '100 ms: no answer, sent true', '42 ms: found [{"member":"ana","score":7}] primary 1/2 of 1']);

	doTest('a server that is cut off from one host answers another', {}, async ({connect, clock, group, time}) => {
		const [here, there] = [await connect(), createInMemoryEndpoints(group.servers, {clock, latencyMs: 1, host: 'hall-b-1'})];
		group.servers[0]!.faults.cut(['hall-a-1']);
		const other = await clock.runUntil(there.getEndpoint(SERVERS[0]!).connect(100));
		return [await time(status(here, 50)), await time(status(other, 50))];
	}, ['50 ms: no answer, sent true', '2 ms: primary 1/1 of 1']);

	doTest('delayed answers arrive late or after the timeout', {}, async ({connect, group, time}) => {
		const [first, second] = [await connect(), await connect()];
		group.servers[0]!.faults.delayAnswers(60);
		return [await time(status(first)), await time(insert(second, 'a', 50)), await time(status(first))];
	}, ['62 ms: primary 1/1 of 1', '50 ms: no answer, sent true', '62 ms: primary 1/2 of 1']);

	// A silent connection still counts towards the server's limit, since the server cannot know that it is no longer used.
	doTest('a silent connection counts towards the limit until the server\'s keep-alive ends it', {connections: 1, keepAliveMs: 200}, async ({connect, clock, endpoints, group, time}) => {
		const connection = await connect();
		group.servers[0]!.silenceConnections();
		connection.destroy();
		const open = async () => time(endpoints.getEndpoint(SERVERS[0]!).connect(100).then(() => 'open'));
		const lines = [await open()];
		await clock.advance(200);
		return [...lines, await open()];
	}, ['2 ms: no answer, sent false', '2 ms: open']);
});
