import {expect} from 'chai';
import {createSilentLog} from '../../src/log/silent-log.js';
import {leave} from '../../src/proxy/leave.js';
import type {SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import {createProxyBench, describeAnswer, type ProxyBench} from './proxy-bench.js';

const PROXIES = 12;

/** Time from the order to stop until the platform kills a host, in milliseconds. */
const GRACE_MS = 6000;

/** Creates twelve proxies before endpoints with 8 connections: three of them are the pool hosts of each endpoint, and the others use their connections. */
const createFleet = async () => createProxyBench({proxies: PROXIES, maxConnections: 8});

const keepsPrimaryConnections = (bench: ProxyBench, proxy: SimulatedProxy) =>
	proxy.kernel.getOrThrow('poolHosts').isPoolHost({id: bench.getPrimary().id, group: 'nights'});

const getRemoteHost = (bench: ProxyBench) => bench.proxies.find(proxy => !keepsPrimaryConnections(bench, proxy))!;

/** Returns the pool host in the zone of a remote host, to which the remote host sends its requests first. */
const getPoolHost = (bench: ProxyBench, {availabilityZone}: SimulatedProxy) =>
	bench.proxies.find(proxy => proxy.availabilityZone === availabilityZone && keepsPrimaryConnections(bench, proxy))!;

/** Orders a host to stop. Resolves when its process would end. */
const startLeaving = async ({clock}: ProxyBench, {kernel}: SimulatedProxy) => leave({
	gateway: kernel.getOrThrow('gateway'),
	leadershipWatch: kernel.getOrThrow('leadershipWatch'),
	checkoutServer: kernel.getOrThrow('checkoutServer'),
	callerPort: {close() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
	clock,
	log: createSilentLog(),
	graceMs: GRACE_MS,
});

describe('connections that hosts share', () => {
	/**
	 * With sixty hosts before an endpoint of thirty connections, each opening one, half of the hosts are refused, and their callers wait for a connection until
	 * their timeout. Here twelve hosts share eight connections and send at once: every caller is served.
	 */
	it('serve the callers of every host at once', async () => {
		const bench = await createFleet();
		const callers = await Promise.all(bench.proxies.map(async proxy => bench.open(proxy, 'sync')));
		for (let round = 0; round < 5; round++) {
			const answers = callers.map(async (caller, i) => bench.send(caller, `WRITE night-${i} ${round}`));
			await bench.clock.advance(500);
			const all = await Promise.all(answers);
			expect(all.map(answer => describeAnswer(answer))).to.deep.equal(Array.from({length: PROXIES}, () => 'done idle'));
		}
	});

	it('carry a transaction on one connection from its begin to its commit', async () => {
		const bench = await createFleet();
		const caller = await bench.open(getRemoteHost(bench), 'sync');
		const answers = [];
		for (const text of ['SET studio boston', 'PARSE p WRITE w', 'BEGIN', 'EXECUTE p night 41', 'READ night', 'COMMIT', 'READ night']) {
			answers.push(await bench.ask(caller, text));
		}

		expect(answers).to.deep.equal(['done idle', 'done idle', 'done open', 'done open', 'done - open', 'done idle', 'done 41 idle']);
	});

	/**
	 * A pool host dies while a transaction uses one of its connections. No commit reached an endpoint, so nothing may be committed; the next try goes through
	 * another pool host.
	 */
	it('commit nothing of a transaction whose pool host dies', async () => {
		const bench = await createFleet();
		const remoteHost = getRemoteHost(bench);
		const caller = await bench.open(remoteHost, 'sync');
		await bench.ask(caller, 'BEGIN');
		await bench.ask(caller, 'WRITE night 41');
		bench.system.kill(getPoolHost(bench, remoteHost));
		expect(await bench.ask(caller, 'COMMIT')).to.equal('outcome-unknown idle');
		expect(bench.ran.filter(line => line.includes('commit'))).to.deep.equal([]);
		expect(await bench.ask(caller, 'WRITE night 42')).to.equal('done idle');
	});

	/**
	 * A transaction uses a checkout that has ended by the time of its commit: the pool host has died, or has restarted at its address, or the primary has closed
	 * the connection. The commit reached no endpoint, so the answer must be that nothing was committed, not that the outcome is unknown.
	 */
	it('answer for certain that a commit did not run, however its checkout ended', async () => {
		const endings: ReadonlyArray<(bench: ProxyBench, poolHost: SimulatedProxy) => Promise<unknown>> = [
			async ({system}, poolHost) => {
				system.kill(poolHost);
			},
			async ({clock, system}, poolHost) => {
				system.kill(poolHost);
				await clock.runUntil(system.startProxy(poolHost.name));
			},
			async ({group}) => {
				group.crash(group.latestPrimary);
				group.restart(group.latestPrimary);
			},
		];
		const outcomes = [];
		for (const endCheckout of endings) {
			const bench = await createFleet();
			const remoteHost = getRemoteHost(bench);
			const caller = await bench.open(remoteHost, 'sync');
			await bench.ask(caller, 'BEGIN');
			await bench.ask(caller, 'WRITE night 41');
			await endCheckout(bench, getPoolHost(bench, remoteHost));
			await bench.clock.advance(20);
			outcomes.push([await bench.ask(caller, 'COMMIT'), bench.ran.filter(line => line.includes('commit'))]);
		}

		expect(outcomes).to.deep.equal(endings.map(() => ['aborted idle', []]));
	});

	/**
	 * A pool host dies before the answer to a single write on one of its connections. The write may have run: its outcome is reported as
	 * unknown, and it is not sent again.
	 */
	it('report the outcome of a write as unknown when its pool host dies during it', async () => {
		const bench = await createFleet();
		const remoteHost = getRemoteHost(bench);
		const caller = await bench.open(remoteHost, 'sync');
		const answer = bench.send(caller, 'WRITE night 41');
		await bench.clock.advance(12);
		bench.system.kill(getPoolHost(bench, remoteHost));
		expect(describeAnswer(await bench.clock.runUntil(answer))).to.equal('outcome-unknown idle');
		expect(bench.ran.filter(line => line.includes('commit')).length).to.be.at.most(1);
	});

	/**
	 * A remote host dies inside a transaction. No host would ever end the transaction, and one of the pool host's few connections would stay in use for ever.
	 */
	it('are returned when a remote host dies', async () => {
		const bench = await createFleet();
		const remoteHost = getRemoteHost(bench);
		const caller = await bench.open(remoteHost, 'sync');
		await bench.ask(caller, 'BEGIN');
		await bench.ask(caller, 'WRITE night 41');
		const checkoutServer = getPoolHost(bench, remoteHost).kernel.getOrThrow('checkoutServer');
		expect(checkoutServer.checkouts).to.equal(1);
		bench.system.kill(remoteHost);
		await bench.clock.advance(6000);
		expect(checkoutServer.checkouts).to.equal(0);
	});

	/** A pool host is stopped in order: it accepts no more checkouts, and remote hosts use other pool hosts without a refused statement. */
	it('are no longer checked out at a host that is leaving', async () => {
		const bench = await createFleet();
		const remoteHost = getRemoteHost(bench);
		const caller = await bench.open(remoteHost, 'sync');
		await bench.ask(caller, 'WRITE night 41');
		getPoolHost(bench, remoteHost).kernel.getOrThrow('checkoutServer').retire();
		expect(await bench.ask(caller, 'WRITE night 42')).to.equal('done idle');
	});

	/** Guards against callers that are refused because each pool host of an endpoint leaves its connections to others. */
	it('are replaced by connections of its own where every pool host is leaving', async () => {
		const bench = await createFleet();
		const remoteHost = getRemoteHost(bench);
		const caller = await bench.open(remoteHost, 'sync');
		await bench.ask(caller, 'WRITE night 41');
		const {id} = bench.getPrimary();
		for (const {kernel} of bench.proxies) {
			if (kernel.getOrThrow('poolHosts').isPoolHost({id, group: 'nights'})) {
				kernel.getOrThrow('checkoutServer').retire();
			}
		}

		const askedAt = bench.clock.now();
		expect(await bench.ask(caller, 'WRITE night 42')).to.equal('done idle');
		expect(bench.clock.now() - askedAt).to.be.lessThan(100);
	});

	/**
	 * A pool host is ordered to stop while a transaction of another host's caller uses one of its connections. If the transaction went on until the pool host's
	 * end, the commit could be cut off with it, and its outcome would be unknown. Ended before, the transaction is rolled back for certain and reported so.
	 */
	it('end with the transactions on them before their pool host does', async () => {
		const bench = await createFleet();
		const remoteHost = getRemoteHost(bench);
		const poolHost = getPoolHost(bench, remoteHost);
		const caller = await bench.open(remoteHost, 'sync');
		await bench.ask(caller, 'BEGIN');
		await bench.ask(caller, 'WRITE night 41');
		let left = false;
		void startLeaving(bench, poolHost).then(() => {
			left = true;
		});
		while (!left) {
			await bench.ask(caller, 'WRITE night 41');
			await bench.clock.advance(100);
		}

		const answer = bench.send(caller, 'COMMIT');
		await bench.clock.advance(3);
		bench.system.kill(poolHost);
		expect([describeAnswer(await bench.clock.runUntil(answer)), bench.ran.filter(line => line.includes('commit'))]).to.deep.equal(['aborted idle', []]);
	});

	/**
	 * A pool host revokes its checkouts while a single write is in transit to it on one of them. The write reached no endpoint: it is run once through another
	 * pool host, and its caller gets a certain outcome.
	 */
	it('have a write that arrives after their end run once through another host', async () => {
		const bench = await createFleet();
		const remoteHost = getRemoteHost(bench);
		const checkoutServer = getPoolHost(bench, remoteHost).kernel.getOrThrow('checkoutServer');
		const caller = await bench.open(remoteHost, 'sync');
		await bench.ask(caller, 'WRITE night 41');
		const answer = bench.send(caller, 'WRITE night 42', 'late');
		while (checkoutServer.checkouts === 0) {
			await bench.clock.advance(1);
		}

		checkoutServer.revokeIdle('the host is stopping');
		expect(checkoutServer.checkouts).to.equal(0);
		expect(describeAnswer(await bench.clock.runUntil(answer))).to.equal('done idle');
		expect(bench.ran.filter(line => line.endsWith('commit late')).length).to.equal(1);
	});

	/** All pool hosts of a zone are cut off from the primary while others reach it: one of another zone is used. */
	it('come from another zone where the pool hosts of the own zone are cut off', async () => {
		const bench = await createFleet();
		const remoteHost = getRemoteHost(bench);
		const caller = await bench.open(remoteHost, 'sync');
		await bench.ask(caller, 'WRITE night 41');
		getPoolHost(bench, remoteHost).cutFrom.add(bench.getPrimary().id);
		await bench.clock.advance(1500);
		let answer = await bench.ask(caller, 'WRITE night 42');
		for (let i = 0; i < 3 && answer !== 'done idle'; i++) {
			answer = await bench.ask(caller, 'WRITE night 42');
		}

		expect(answer).to.equal('done idle');
		expect(bench.group.latestPrimary.id).to.equal('nights-1');
	});

	/**
	 * A host replaces a primary and requests the status of the replicas through their pool hosts. One of these has just died: its replica
	 * may be the only one that holds the last acknowledged write, so its status is needed all the same.
	 */
	it('return a status even where the pool host that is tried first has died', async () => {
		const bench = await createFleet();
		const replica = bench.group.servers[1]!;
		const name = {id: replica.id, group: 'nights'};
		const asker = bench.proxies.find(({kernel}) => !kernel.getOrThrow('poolHosts').isPoolHost(name))!;
		for (const poolHost of bench.proxies.filter(({kernel}) => kernel.getOrThrow('poolHosts').isPoolHost(name)).slice(1)) {
			bench.system.kill(poolHost);
		}

		const {pool} = asker.kernel.getOrThrow('endpointDirectory').get(replica.id)!;
		const status = await bench.clock.runUntil(pool.sendCommand({kind: 'status'}, 500));
		expect(status.role).to.equal('replica');
	});
});
