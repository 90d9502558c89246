import {expect} from 'chai';
import {RecordKind} from '../../src/mirror/metadata-store.js';
import {createProxyBench, describeAnswer, type ProxyBench} from './proxy-bench.js';

/** Writes at a proxy until a write is acknowledged; returns how long that took, in milliseconds, or infinity after 30 s. */
async function measureGap(bench: ProxyBench, proxyIndex: number): Promise<number> {
	const startedAt = bench.clock.now();
	const caller = await bench.open(bench.proxies[proxyIndex]!, 'sync');
	while (bench.clock.now() < startedAt + 30_000) {
		if (await bench.ask(caller, 'WRITE gap 1') === 'done idle') {
			return bench.clock.now() - startedAt;
		}

		await bench.clock.advance(20);
	}

	return Number.POSITIVE_INFINITY;
}

describe('a primary that is lost', () => {
	/**
	 * The primary crashes under load. Only the proxies can have it replaced: their connections break, they agree that it
	 * is unreachable, revoke their primary leases and promote the replica with the longest log. A promotion takes 1,000 ms here.
	 */
	it('is replaced within a promotion and half a second', async () => {
		const bench = await createProxyBench();
		bench.group.crash(bench.getPrimary());
		expect(await measureGap(bench, 0)).to.be.lessThan(1500);
		expect(bench.group.latestPrimary.id).to.not.equal('nights-1');
	});

	/**
	 * A primary accepts no connection and answers nothing. It takes 700 ms to tell its silence from a long statement; then the gap
	 * consists of the proxies' agreement, one round to the other endpoints and the promotion of 1,000 ms.
	 */
	it('is replaced where it is silent, once the silence is detected', async () => {
		const bench = await createProxyBench();
		await measureGap(bench, 0);
		for (const proxy of bench.proxies) {
			proxy.cutFrom.add('nights-1');
		}

		bench.getPrimary().cutFromGroup = true;
		expect(await measureGap(bench, 0)).to.be.lessThan(2300);
		expect(bench.group.latestPrimary.id).to.not.equal('nights-1');
	});

	/**
	 * One proxy of three is cut off from the primary. Its callers are refused, but the primary is kept: the other two
	 * proxies reach it, and a replacement would cost every caller a second and perhaps some commits.
	 */
	it('is kept where only one proxy cannot reach it', async () => {
		const bench = await createProxyBench();
		bench.proxies[0]!.cutFrom.add('nights-1');
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		void bench.send(caller, 'WRITE a 1');
		await bench.clock.advance(6000);
		expect(bench.group.latestPrimary.id).to.equal('nights-1');
		expect(await measureGap(bench, 1)).to.be.lessThan(100);
	});

	/**
	 * The same for the callers of the proxy that is cut off. A refusal sends them to another proxy, which can serve them; if they waited for
	 * their statement timeout, they would have no time left there.
	 */
	it('makes a proxy that alone cannot reach it refuse callers at once, until it can', async () => {
		const bench = await createProxyBench();
		bench.proxies[0]!.cutFrom.add('nights-1');
		const first = await bench.open(bench.proxies[0]!, 'sync');
		void bench.send(first, 'WRITE a 1');
		await bench.clock.advance(2000);
		const second = await bench.open(bench.proxies[0]!, 'sync');
		const askedAt = bench.clock.now();
		expect(await bench.ask(second, 'WRITE a 2')).to.equal('overloaded idle');
		expect(bench.clock.now() - askedAt).to.be.lessThan(20);
		const reader = await bench.open(bench.proxies[0]!, 'review');
		bench.proxies[0]!.cutFrom.clear();
		await bench.clock.advance(2500);
		expect(await bench.ask(second, 'WRITE a 3')).to.equal('done idle');
		expect(await bench.ask(reader, 'READ a')).to.match(/^done/v);
	});

	/**
	 * Two of five proxies are cut off from the other three and from the primary. They agree that it is lost, but they are
	 * not a majority: a replacement would take the primary from the three proxies that use it.
	 */
	it('is kept where the proxies that cannot reach it are the minority of a partition', async () => {
		const bench = await createProxyBench({proxies: 5});
		bench.splitOff(2);

		const caller = await bench.open(bench.proxies[0]!, 'sync');
		void bench.send(caller, 'WRITE a 1');
		await bench.clock.advance(6000);
		expect(bench.group.latestPrimary.id).to.equal('nights-1');
		expect(await measureGap(bench, 3)).to.be.lessThan(100);
	});

	/**
	 * A primary crashes while one proxy is cut off from the others, which get no acknowledgement from it. They wait until its
	 * primary lease has expired, longer than the failover lease lasts. Unless the failover lease is renewed meanwhile, another proxy
	 * takes it and both start over, and the group stays without a primary for many seconds.
	 */
	it('is replaced once the primary lease of a proxy that does not answer has expired', async () => {
		const bench = await createProxyBench({proxies: 5});
		for (const other of bench.proxies.slice(1)) {
			bench.system.network.setFaultsBetween(bench.proxies[0]!.peerAddress, other.peerAddress, {cut: true});
		}

		bench.group.crash(bench.getPrimary());
		const gap = await measureGap(bench, 1);
		expect(gap).to.be.greaterThan(3000);
		expect(gap).to.be.lessThan(6000);
	});

	/**
	 * A proxy died some time ago without deregistering. Then a primary crashes: if the dead proxy were still in the list, writes would have to wait
	 * three seconds longer, until its primary lease had expired.
	 */
	it('is replaced without waiting for a proxy that died long before', async () => {
		const bench = await createProxyBench({proxies: 5});
		bench.system.kill(bench.proxies[4]!);
		await bench.clock.advance(24_000);
		bench.group.crash(bench.getPrimary());
		expect(await measureGap(bench, 1)).to.be.lessThan(1500);
	});

	/**
	 * The proxy that replaces a primary dies half way. The leadership record says that the primary is changing, so no proxy writes; another
	 * proxy continues once the failover lease of the dead one has expired.
	 */
	it('is replaced by another proxy where the one that began dies', async () => {
		const bench = await createProxyBench();
		bench.group.crash(bench.getPrimary());
		const isChanging = () => (bench.system.store.getRecord(RecordKind.Leadership, 'group.nights')!.value as {phase: string}).phase === 'changing';
		while (!isChanging()) {
			await bench.clock.advance(5);
		}

		const {changedBy} = bench.system.store.getRecord(RecordKind.Leadership, 'group.nights')!.value as {changedBy: string};
		const dying = bench.proxies.findIndex(({name}) => name === changedBy);
		bench.system.kill(bench.proxies[dying]!);
		expect(await measureGap(bench, (dying + 1) % 3)).to.be.lessThan(12_000);
	});

	/**
	 * A primary is replaced under load: it reports that it is leaving and goes on serving. Its successor must hold every
	 * acknowledged write, and no write may be refused.
	 */
	it('is replaced without a lost or refused write where it is leaving', async () => {
		const bench = await createProxyBench({lagMs: 200});
		const caller = await bench.open(bench.proxies[0]!, 'roster');
		await bench.ask(caller, 'WRITE a 1');
		bench.getPrimary().leaving = true;
		bench.system.registerEndpoints();
		const answers = new Set<string>();
		for (let i = 0; i < 40; i++) {
			answers.add(await bench.ask(caller, `WRITE a ${i}`));
			await bench.clock.advance(20);
		}

		expect(bench.group.latestPrimary.id).to.not.equal('nights-1');
		expect([...answers].filter(answer => answer === 'outcome-unknown idle')).to.deep.equal([]);
		expect(await bench.ask(caller, 'READ a')).to.equal('done 39 idle');
	});
});

describe('a commit whose primary may have been replaced', () => {
	/**
	 * A proxy is suspended while its commit's answer is in transit. Meanwhile the primary, cut off from its group, is
	 * replaced, but goes on committing. Once resumed, the proxy must not acknowledge a commit that only the old primary has.
	 */
	it('is not acknowledged after a suspension', async () => {
		const bench = await createProxyBench();
		const frozen = bench.proxies[0]!;
		const caller = await bench.open(frozen, 'sync');
		await bench.ask(caller, 'WRITE warm 1');
		const old = bench.getPrimary();
		bench.system.suspend(frozen);
		old.cutFromGroup = true;
		for (const proxy of bench.proxies.slice(1)) {
			proxy.cutFrom.add(old.id);
		}

		const other = await bench.open(bench.proxies[1]!, 'sync');
		void bench.send(other, 'WRITE x 1');
		await bench.clock.advance(15_000);
		expect(bench.group.latestPrimary.id).to.not.equal(old.id);
		const answer = bench.send(caller, 'WRITE a 1', 'late');
		bench.system.resume(frozen);
		const text = describeAnswer(await bench.clock.runUntil(answer));
		const took = bench.ran.filter(line => line.endsWith(' late'));
		expect([text, ...took]).to.not.deep.equal(['done idle', `${old.id} commit late`]);
	});
});

describe('a read that waits for a connection', () => {
	/**
	 * All connections to the primary are in use, and a read waits for one. Meanwhile the primary is replaced, and this host acknowledges the revocation of its
	 * primary lease. A connection that is released then leads to a log that may lack writes acknowledged by the new primary.
	 */
	it('is not sent to a primary whose lease was revoked during the wait', async () => {
		const bench = await createProxyBench({proxies: 1, maxConnections: 3});
		const holder = await bench.open(bench.proxies[0]!, 'sync');
		await bench.ask(holder, 'BEGIN');
		await bench.ask(holder, 'READ a');
		const waiting = await bench.open(bench.proxies[0]!, 'sync');
		const answer = bench.send(waiting, 'READ a', 'waited');
		await bench.clock.advance(100);
		bench.proxies[0]!.kernel.getOrThrow('primaryLeases').revoke('nights', 2);
		await bench.ask(holder, 'COMMIT');
		expect(describeAnswer(await bench.clock.runUntil(answer))).to.equal('overloaded idle');
		expect(bench.ran.filter(line => line.endsWith(' waited'))).to.deep.equal([]);
	});
});

describe('an outage of the store', () => {
	/**
	 * The store is down for all hosts, for longer than a primary lease lasts. No host can replace a primary then, and all proxies
	 * confirm that to each other, so traffic goes on.
	 */
	it('does not interrupt traffic', async () => {
		const bench = await createProxyBench();
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		bench.system.store.setFaults(undefined, {refused: true});
		const answers = new Set<string>();
		for (let i = 0; i < 80; i++) {
			answers.add(await bench.ask(caller, 'WRITE a 1'));
			answers.add(await bench.ask(caller, 'READ a'));
			await bench.clock.advance(100);
		}

		expect([...answers]).to.deep.equal(['done idle', 'done 1 idle']);
	});

	/**
	 * A host dies for good just as the store goes down for all hosts. The dead host cannot confirm that it replaces no primary.
	 * But the endpoints show no fence, and a host that promotes one without an acknowledgement has to fence it long before.
	 */
	it('does not interrupt traffic where a host is dead as well', async () => {
		const bench = await createProxyBench();
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		bench.system.kill(bench.proxies[2]!);
		bench.system.store.setFaults(undefined, {refused: true});
		const answers = new Set<string>();
		for (let i = 0; i < 80; i++) {
			answers.add(await bench.ask(caller, 'WRITE a 1'));
			await bench.clock.advance(100);
		}

		expect([...answers]).to.deep.equal(['done idle']);
	});

	/**
	 * To this host the store is down and another host is silent. That host still reads the store and is about to promote a replica, which
	 * it has fenced. If this host went on, it would acknowledge writes that only the old primary has.
	 */
	it('stops writes once an endpoint shows a fence', async () => {
		const bench = await createProxyBench();
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		bench.system.kill(bench.proxies[2]!);
		bench.system.store.setFaults(undefined, {refused: true});
		bench.group.servers[1]!.fencedTerm = 2;
		await bench.clock.advance(3500);
		expect(await bench.ask(caller, 'WRITE a 1')).to.equal('overloaded idle');
	});

	/** The store does not answer one proxy and serves the others, through which that proxy confirms its leases. */
	it('for one proxy alone does not interrupt traffic', async () => {
		const bench = await createProxyBench();
		bench.system.store.setFaults('entry-1', {silent: true});
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		const answers = new Set<string>();
		for (let i = 0; i < 60; i++) {
			answers.add(await bench.ask(caller, 'WRITE a 1'));
			await bench.clock.advance(100);
		}

		expect([...answers]).to.deep.equal(['done idle']);
	});

	/**
	 * A proxy starts while the store is down for it. It cannot know a caller's route yet, and must not answer that there is no such
	 * route.
	 */
	it('does not make a starting proxy answer that a route does not exist', async () => {
		const bench = await createProxyBench();
		bench.system.store.setFaults('entry-9', {silent: true});
		const starting = await bench.clock.runUntil(bench.system.startProxy('entry-9'));
		const caller = await bench.open(starting, 'sync');
		expect(caller.refusal).to.equal('overloaded');
	});

	/**
	 * A host is cut off from the store and from all other hosts. Its primary leases expire, and a caller would wait there until its timeout without being
	 * served. Refused within the time of a few statements, it still has most of its time for another host.
	 */
	it('makes a host that is cut off from everything but its callers refuse them soon', async () => {
		const bench = await createProxyBench();
		const [isolated, ...others] = bench.proxies;
		const caller = await bench.open(isolated!, 'sync');
		expect(await bench.ask(caller, 'WRITE a 1')).to.equal('done idle');
		bench.system.store.setFaults(isolated!.name, {silent: true});
		for (const other of others) {
			bench.system.network.setFaultsBetween(isolated!.peerAddress, other.peerAddress, {cut: true});
		}

		for (const server of bench.group.servers) {
			isolated!.cutFrom.add(server.id);
		}

		await bench.clock.advance(6000);
		const askedAt = bench.clock.now();
		expect(await bench.ask(caller, 'WRITE a 2')).to.equal('overloaded idle');
		expect(bench.clock.now() - askedAt).to.be.lessThan(300);
	});

	/** A replica was down for a while. No statements are sent to an endpoint that is suspected, so none would show that it is reachable again. */
	it('leaves a replica that was down in use once it is back', async () => {
		const bench = await createProxyBench();
		const proxy = bench.proxies[1]!;
		const replica = bench.group.servers[1]!;
		bench.group.crash(replica);
		for (const link of [1, 2, 3]) {
			const caller = await bench.open(proxy, 'sync');
			await bench.ask(caller, `WRITE a ${link}`);
			await bench.ask(await bench.open(proxy, 'review'), 'READ a');
		}

		bench.group.restart(replica);
		await bench.clock.advance(2500);
		const known = proxy.kernel.getOrThrow('endpointDirectory').get(replica.id);
		expect(known?.pool.health.getSuspicion(bench.clock.now())).to.equal(undefined);
	});
});
