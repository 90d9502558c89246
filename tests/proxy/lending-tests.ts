import {expect} from 'chai';
import {createSilentLog} from '../../src/log/silent-log.js';
import {leave} from '../../src/proxy/leave.js';
import type {SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import {createProxyBench, describeAnswer, type ProxyBench} from './proxy-bench.js';

const PROXIES = 12;

/** Time that a host has from the order to stop to its end by force, in milliseconds, as the platform gives it. */
const GRACE_MS = 6000;

/** Twelve proxies before endpoints of 8 connections: three of them keep some to each endpoint and lend them to the others. */
const createCrowd = async () => createProxyBench({proxies: PROXIES, maxConnections: 8});

const keepsPrimary = (bench: ProxyBench, proxy: SimulatedProxy) =>
	proxy.kernel.getOrThrow('lenders').keepsOwn({id: bench.getPrimary().id, group: 'nights'});

const getBorrower = (bench: ProxyBench) => bench.proxies.find(proxy => !keepsPrimary(bench, proxy))!;

/** The keeper of the borrower's own zone, which it asks first. */
const getLender = (bench: ProxyBench, {availabilityZone}: SimulatedProxy) =>
	bench.proxies.find(proxy => proxy.availabilityZone === availabilityZone && keepsPrimary(bench, proxy))!;

/** Tells a host to stop; resolves when its process would end. */
const startLeaving = async ({clock}: ProxyBench, {kernel}: SimulatedProxy) => leave({
	gateway: kernel.getOrThrow('gateway'),
	leadershipWatch: kernel.getOrThrow('leadershipWatch'),
	lender: kernel.getOrThrow('linkLender'),
	callerPort: {close() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
	clock,
	log: createSilentLog(),
	graceMs: GRACE_MS,
});

describe('connections that hosts lend to each other', () => {
	/**
	 * Sixty hosts before an endpoint of thirty connections: each opens one, half are turned away, and their callers wait for a connection until their time is
	 * up. Here twelve before eight, all pressing at once: every caller is served.
	 */
	it('serve the callers of every host at once', async () => {
		const bench = await createCrowd();
		const callers = await Promise.all(bench.proxies.map(async proxy => bench.open(proxy, 'sync')));
		for (let round = 0; round < 5; round++) {
			const answers = callers.map(async (caller, i) => bench.send(caller, `WRITE night-${i} ${round}`));
			await bench.clock.advance(500);
			const all = await Promise.all(answers);
			expect(all.map(answer => describeAnswer(answer))).to.deep.equal(Array.from({length: PROXIES}, () => 'done idle'));
		}
	});

	it('carry a transaction on one connection from its begin to its commit', async () => {
		const bench = await createCrowd();
		const caller = await bench.open(getBorrower(bench), 'sync');
		const answers = [];
		for (const text of ['SET studio boston', 'PARSE p WRITE w', 'BEGIN', 'EXECUTE p night 41', 'READ night', 'COMMIT', 'READ night']) {
			answers.push(await bench.ask(caller, text));
		}

		expect(answers).to.deep.equal(['done idle', 'done idle', 'done open', 'done open', 'done - open', 'done idle', 'done 41 idle']);
	});

	/**
	 * A member syncs a night in a transaction over a borrowed connection, and the lender dies. No commit was sent, so the caller is told that nothing is
	 * kept, and that has to be true; the next try goes over another lender.
	 */
	it('leave nothing behind of a transaction whose lender dies', async () => {
		const bench = await createCrowd();
		const borrower = getBorrower(bench);
		const caller = await bench.open(borrower, 'sync');
		await bench.ask(caller, 'BEGIN');
		await bench.ask(caller, 'WRITE night 41');
		bench.system.kill(getLender(bench, borrower));
		expect(await bench.ask(caller, 'COMMIT')).to.equal('outcome-unknown idle');
		expect(bench.ran.filter(line => line.includes('commit'))).to.deep.equal([]);
		expect(await bench.ask(caller, 'WRITE night 42')).to.equal('done idle');
	});

	/**
	 * A member saves a night in a transaction over a borrowed connection, and the loan is over when the commit comes: its lender has ended, or runs anew at its
	 * address, or the primary has closed the connection. The commit reached no endpoint, so the member must be told that nothing is kept, not that nobody knows.
	 */
	it('tell a commit for certain that it did not run, whichever way the loan was over', async () => {
		const ways: ReadonlyArray<(bench: ProxyBench, lender: SimulatedProxy) => Promise<unknown>> = [
			async ({system}, lender) => {
				system.kill(lender);
			},
			async ({clock, system}, lender) => {
				system.kill(lender);
				await clock.runUntil(system.startProxy(lender.name));
			},
			async ({group}) => {
				group.crash(group.leader);
				group.restart(group.leader);
			},
		];
		const told = [];
		for (const endLoan of ways) {
			const bench = await createCrowd();
			const borrower = getBorrower(bench);
			const caller = await bench.open(borrower, 'sync');
			await bench.ask(caller, 'BEGIN');
			await bench.ask(caller, 'WRITE night 41');
			await endLoan(bench, getLender(bench, borrower));
			await bench.clock.advance(20);
			told.push([await bench.ask(caller, 'COMMIT'), bench.ran.filter(line => line.includes('commit'))]);
		}

		expect(told).to.deep.equal(ways.map(() => ['aborted idle', []]));
	});

	/**
	 * A single write is under way over a borrowed connection and the lender dies before the answer. The write may have run: it is said to be
	 * open, and not sent again.
	 */
	it('leave a write in doubt whose lender dies under it', async () => {
		const bench = await createCrowd();
		const borrower = getBorrower(bench);
		const caller = await bench.open(borrower, 'sync');
		const answer = bench.send(caller, 'WRITE night 41');
		await bench.clock.advance(12);
		bench.system.kill(getLender(bench, borrower));
		expect(describeAnswer(await bench.clock.runUntil(answer))).to.equal('outcome-unknown idle');
		expect(bench.ran.filter(line => line.includes('commit')).length).to.be.at.most(1);
	});

	/**
	 * A borrower dies inside a transaction. Nobody would ever end it: the lender's connection, one of few, would be held with its transaction for ever.
	 */
	it('come back from a borrower that died', async () => {
		const bench = await createCrowd();
		const borrower = getBorrower(bench);
		const caller = await bench.open(borrower, 'sync');
		await bench.ask(caller, 'BEGIN');
		await bench.ask(caller, 'WRITE night 41');
		const lender = getLender(bench, borrower).kernel.getOrThrow('linkLender');
		expect(lender.loans).to.equal(1);
		bench.system.kill(borrower);
		await bench.clock.advance(6000);
		expect(lender.loans).to.equal(0);
	});

	/** A lender is stopped in order: it lends no more, and its borrowers go to others without a refused statement. */
	it('are no longer lent by a host that is leaving', async () => {
		const bench = await createCrowd();
		const borrower = getBorrower(bench);
		const caller = await bench.open(borrower, 'sync');
		await bench.ask(caller, 'WRITE night 41');
		getLender(bench, borrower).kernel.getOrThrow('linkLender').retire();
		expect(await bench.ask(caller, 'WRITE night 42')).to.equal('done idle');
	});

	/**
	 * A lender is told to stop while a transaction of another host's caller goes on over its connection. It goes on to the lender's
	 * end, which cuts the commit: the caller is told that nobody knows. Ended in good time, the transaction is rolled back for certain, and the caller told so.
	 */
	it('end with the transactions on them before their lender does', async () => {
		const bench = await createCrowd();
		const borrower = getBorrower(bench);
		const lender = getLender(bench, borrower);
		const caller = await bench.open(borrower, 'sync');
		await bench.ask(caller, 'BEGIN');
		await bench.ask(caller, 'WRITE night 41');
		let left = false;
		void startLeaving(bench, lender).then(() => {
			left = true;
		});
		while (!left) {
			await bench.ask(caller, 'WRITE night 41');
			await bench.clock.advance(100);
		}

		const answer = bench.send(caller, 'COMMIT');
		await bench.clock.advance(3);
		bench.system.kill(lender);
		expect([describeAnswer(await bench.clock.runUntil(answer)), bench.ran.filter(line => line.includes('commit'))]).to.deep.equal(['aborted idle', []]);
	});

	/**
	 * A lender ends its loans while a single write is on its way to it over one. The write reached no endpoint: it is run over another lender, once, and its caller
	 * is not left in doubt.
	 */
	it('have a write run elsewhere, once, that comes after their end', async () => {
		const bench = await createCrowd();
		const borrower = getBorrower(bench);
		const lender = getLender(bench, borrower).kernel.getOrThrow('linkLender');
		const caller = await bench.open(borrower, 'sync');
		await bench.ask(caller, 'WRITE night 41');
		const answer = bench.send(caller, 'WRITE night 42', 'late');
		while (lender.loans === 0) {
			await bench.clock.advance(1);
		}

		lender.endResting('the host is stopping');
		expect(lender.loans).to.equal(0);
		expect(describeAnswer(await bench.clock.runUntil(answer))).to.equal('done idle');
		expect(bench.ran.filter(line => line.endsWith('commit late')).length).to.equal(1);
	});

	/** All lenders of a zone are cut off from the primary while others reach it: one farther away lends. */
	it('come from another zone where those of the own one are cut off', async () => {
		const bench = await createCrowd();
		const borrower = getBorrower(bench);
		const caller = await bench.open(borrower, 'sync');
		await bench.ask(caller, 'WRITE night 41');
		getLender(bench, borrower).cutFrom.add(bench.getPrimary().id);
		await bench.clock.advance(1500);
		let answer = await bench.ask(caller, 'WRITE night 42');
		for (let i = 0; i < 3 && answer !== 'done idle'; i++) {
			answer = await bench.ask(caller, 'WRITE night 42');
		}

		expect(answer).to.equal('done idle');
		expect(bench.group.leader.id).to.equal('nights-1');
	});

	/**
	 * A host replaces a primary and asks the replicas by way of the hosts that keep connections to them. One of those has just died: the replica behind it
	 * may be the only one that holds a member's last night, and has to be heard all the same.
	 */
	it('bring a status also where the first lender that is asked has died', async () => {
		const bench = await createCrowd();
		const replica = bench.group.servers[1]!;
		const name = {id: replica.id, group: 'nights'};
		const asker = bench.proxies.find(({kernel}) => !kernel.getOrThrow('lenders').keepsOwn(name))!;
		for (const lender of bench.proxies.filter(({kernel}) => kernel.getOrThrow('lenders').keepsOwn(name)).slice(1)) {
			bench.system.kill(lender);
		}

		const {pool} = asker.kernel.getOrThrow('endpointDirectory').get(replica.id)!;
		const status = await bench.clock.runUntil(pool.ask({kind: 'status'}, 500));
		expect(status.role).to.equal('replica');
	});
});
