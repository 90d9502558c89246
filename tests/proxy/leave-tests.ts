import {expect} from 'chai';
import type {Log} from '../../src/log/log.js';
import {describeAnswer} from './proxy-bench.js';
import {
	countInUse, createLeavingBench, GRACE_MS, slowDown, watchAnswers,
} from './leaving-bench.js';

/** A host is ordered to stop. The balancer sends callers for two more seconds; sessions are idle, busy or in transactions. */
describe('a proxy that is stopped in order', () => {
	it('serves callers until the balancer has removed it, then ends idle sessions and itself', async () => {
		const {bench, startLeaving} = await createLeavingBench();
		const idle = await bench.open(bench.proxies[0]!, 'sync');
		const left = startLeaving();
		await bench.clock.advance(2000);
		const late = await bench.open(bench.proxies[0]!, 'sync');
		expect([idle.closed, await bench.ask(late, 'WRITE a 1')]).to.deep.equal([false, 'done idle']);
		expect(await bench.clock.runUntil(left)).to.be.lessThan(2500);
		expect([idle.closed, late.closed]).to.deep.equal([true, true]);
	});

	it('answers a statement that is under way', async () => {
		const {bench, startLeaving} = await createLeavingBench();
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		const left = startLeaving();
		await bench.clock.advance(2295);
		const answer = bench.send(caller, 'WRITE a 1');
		await bench.clock.runUntil(left);
		expect(describeAnswer(await answer)).to.equal('done idle');
	});

	/**
	 * A host is stopped while it replaces a primary. If it ended half way, the group would have no primary until another host had
	 * waited for its failover lease to expire. For the same reason it begins no further replacement.
	 */
	it('finishes a replacement that is under way, and begins none', async () => {
		const {bench, startLeaving} = await createLeavingBench();
		const watch = bench.proxies[0]!.kernel.getOrThrow('leadershipWatch');
		bench.getPrimary().leaving = true;
		bench.system.registerEndpoints();
		while (!bench.proxies.some(({kernel}) => kernel.getOrThrow('leadershipWatch').replacing)) {
			await bench.clock.advance(10);
		}

		const own = watch.replacing;
		await bench.clock.runUntil(startLeaving());
		expect([own && watch.replacing, bench.group.latestPrimary.id === 'nights-1' && own]).to.deep.equal([false, false]);
		bench.group.crash(bench.getPrimary());
		await bench.clock.advance(5000);
		expect(watch.replacing).to.equal(false);
	});

	it('lets an open transaction commit', async () => {
		const {bench, startLeaving} = await createLeavingBench();
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		await bench.ask(caller, 'BEGIN');
		await bench.ask(caller, 'WRITE a 1');
		const left = startLeaving();
		await bench.clock.advance(2700);
		expect(await bench.ask(caller, 'COMMIT')).to.equal('done idle');
		expect(await bench.clock.runUntil(left)).to.be.lessThan(3000);
	});

	it('rolls back a transaction that stays open for half of the grace period, and reports it', async () => {
		const {bench, startLeaving} = await createLeavingBench();
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		await bench.ask(caller, 'BEGIN');
		await bench.ask(caller, 'WRITE a 1', 'open');
		expect(await bench.clock.runUntil(startLeaving())).to.be.lessThan(GRACE_MS);
		expect([caller.closed, caller.refusal, bench.ran.filter(line => line.includes('commit'))]).to.deep.equal([true, 'aborted', []]);
	});

	/**
	 * A read was sent 0.5 s before a stopping host ended its idle sessions, and lay unread in the socket. The host took the session for idle and closed the
	 * connection, so the read got neither an answer nor a refusal. Two such reads ended 0.56 and 1.64 s later than the host's plan, and no server
	 * received them.
	 */
	it('answers a request that is in transit while idle sessions are ended', async () => {
		const {bench, startLeaving} = await createLeavingBench();
		const caller = await bench.open(bench.proxies[0]!, 'review', 500);
		const left = startLeaving();
		await bench.clock.advance(1810);
		const answer = bench.send(caller, 'READ a');
		await bench.clock.runUntil(left);
		expect(describeAnswer(await answer)).to.equal('overloaded idle');
	});

	/**
	 * A read was accepted 4.95 s after the order to stop and ran, and its connection was closed 15 ms before the answer came. The balancer sends callers to
	 * stopping hosts where most hosts are stopping. Callers that connected after idle sessions had been ended were never notified, and the process
	 * ended at its share of the grace period, whatever was under way.
	 */
	it('accepts nothing that it cannot answer before its end', async () => {
		const {bench, startLeaving} = await createLeavingBench();
		const left = startLeaving();
		await bench.clock.advance(2400);
		const caller = await bench.open(bench.proxies[0]!, 'roster');
		await bench.clock.advance(2550);
		slowDown(bench, 100);

		const wasNotified = caller.closed;
		const answer = wasNotified ? undefined : bench.send(caller, 'READ a');
		await bench.clock.runUntil(left);
		const answerAtTheEnd = await Promise.race([answer, Promise.resolve(undefined)]);
		expect(wasNotified || answerAtTheEnd !== undefined).to.equal(true);
	});

	/**
	 * A stopping host still replaces a primary when its last session has ended. A caller connects, sets a value and sends nothing more. The process ended
	 * with that session open, since callers that connected after the others were never notified.
	 */
	it('notifies a caller that connects while a replacement is finished', async () => {
		const {bench, startLeaving} = await createLeavingBench();
		const startedAt = bench.clock.now();
		const left = startLeaving({
			leadershipWatch: {
				retire() {}, // eslint-disable-line @typescript-eslint/no-empty-function
				get replacing() {
					return bench.clock.now() < startedAt + 5100;
				},
			},
		});
		await bench.clock.advance(2500);
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		expect(await bench.ask(caller, 'SET a 1')).to.equal('done idle');
		expect(await bench.clock.runUntil(left)).to.be.lessThan(5400);
		expect([caller.refusal, caller.closed]).to.deep.equal(['overloaded', true]);
	});

	/**
	 * A transaction's first statement waits for a connection, all of which other transactions use, when the host rolls all transactions back. The statement
	 * got a connection that was released, and ran after its caller had been notified that the transaction was rolled back.
	 */
	it('runs nothing of a transaction that is rolled back during its begin', async () => {
		const {bench, startLeaving} = await createLeavingBench({proxies: 1, maxConnections: 4});
		const left = startLeaving();
		await bench.clock.advance(2200);
		const callers = [];
		for (let i = 0; i < 4; i++) {
			const caller = await bench.open(bench.proxies[0]!, 'sync');
			await bench.ask(caller, 'BEGIN');
			callers.push(caller);
		}

		await bench.clock.advance(1600);
		const answers = callers.map(async (caller, i) => bench.send(caller, 'READ a', `read-${i}`));
		await bench.clock.runUntil(left);
		const received = await Promise.all(answers);
		expect(received.map(answer => describeAnswer(answer))).to.deep.equal(['done - open', 'aborted failed', 'aborted failed', 'aborted failed']);
		expect(bench.ran).to.deep.equal(['nights-1 read read-0']);
	});

	/**
	 * Most hosts of a zone are stopping, so the balancer sends callers to those too. A caller connects after all others were notified, and delays the end of its
	 * host for as long as it stays, though it has nothing under way.
	 */
	it('notifies a caller that connects after the others, as soon as it has its answer', async () => {
		const {bench, startLeaving, openTransaction} = await createLeavingBench();
		const first = await openTransaction();
		const left = startLeaving();
		await bench.clock.advance(2400);
		const late = await bench.open(bench.proxies[0]!, 'sync');
		expect(await bench.ask(late, 'READ a')).to.equal('done - idle');
		await bench.clock.advance(1);
		expect([late.refusal, late.closed]).to.deep.equal(['overloaded', true]);
		expect(await bench.ask(first, 'COMMIT')).to.equal('done idle');
		expect(await bench.clock.runUntil(left)).to.be.lessThan(3000);
	});

	/**
	 * A stopping host is cut off from all but the primary while a commit is under way. The commit's answer comes when the primary lease has expired, and the host
	 * waits for a renewed one, longer than it has time: the process ended without an answer to the commit.
	 */
	it('sends a final answer to a commit that still waits for a renewed lease', async () => {
		const {bench, startLeaving, openTransaction} = await createLeavingBench();
		const [own, ...others] = bench.proxies;
		const left = startLeaving();
		await bench.clock.advance(1000);
		bench.system.store.setFaults(own!.name, {silent: true});
		for (const other of others) {
			bench.system.network.setFaultsBetween(own!.peerAddress, other.peerAddress, {cut: true});
		}

		for (const replica of bench.group.servers.filter(server => server !== bench.getPrimary())) {
			own!.cutFrom.add(replica.id);
		}

		await bench.clock.advance(1200);
		const caller = await openTransaction();
		slowDown(bench, 900);
		await bench.clock.advance(1700);
		const answer = bench.send(caller, 'COMMIT', 'commit-1');
		await bench.clock.runUntil(left);
		expect(bench.ran).to.deep.equal(['nights-1 commit commit-1']);
		expect(describeAnswer(await Promise.race([answer, Promise.resolve(undefined)]))).to.equal('outcome-unknown idle');
	});

	/**
	 * A caller sends a write while its read is under way, and the read's answer comes after the last moment at which the host accepts anything. If the write were
	 * accepted, it would be under way when final answers are due.
	 */
	it('does not run a write that waits behind a read when nothing more is accepted', async () => {
		const {bench, startLeaving, openTransaction} = await createLeavingBench();
		await openTransaction();
		const left = startLeaving();
		await bench.clock.advance(2400);
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		const answers = watchAnswers(caller);
		await bench.clock.advance(1400);
		slowDown(bench, 500);
		void bench.send(caller, 'READ a', 'read-1');
		await bench.clock.advance(300);
		void bench.send(caller, 'WRITE a 2', 'write-1');
		await bench.clock.runUntil(left);
		expect([answers, bench.ran]).to.deep.equal([['done - idle', 'overloaded idle'], ['nights-1 read read-1']]);
	});

	/** A transaction that begins just before all are rolled back has no time for its statements. Refused at once, its caller can begin it at another host. */
	it('begins no transaction for which it has no time', async () => {
		const {bench, startLeaving, openTransaction} = await createLeavingBench();
		await openTransaction();
		const left = startLeaving();
		await bench.clock.advance(2400);
		const callers = [await bench.open(bench.proxies[0]!, 'sync'), await bench.open(bench.proxies[0]!, 'sync')];
		await bench.clock.advance(1300);
		const inTime = await bench.ask(callers[0]!, 'BEGIN');
		await bench.clock.advance(200);
		expect([inTime, await bench.ask(callers[1]!, 'BEGIN')]).to.deep.equal(['done open', 'overloaded idle']);
		await bench.clock.runUntil(left);
		expect(callers.map(({refusal, closed}) => [refusal, closed])).to.deep.equal([['aborted', true], ['overloaded', true]]);
	});

	/**
	 * A commit has been sent to its endpoint when the host rolls open transactions back. It can no longer be rolled back and takes effect, so the log must not
	 * say that its transaction was rolled back.
	 */
	it('does not log that a commit under way is rolled back', async () => {
		const lines: string[] = [];
		const write = (sentence: string) => {
			lines.push(sentence);
		};

		const log: Log = {
			debug: write, info: write, warn: write, error: write, withPrefix: () => log,
		};
		const {bench, startLeaving, openTransaction} = await createLeavingBench({log});
		const callers = [await openTransaction(), await openTransaction()];
		const left = startLeaving();
		await bench.clock.advance(2500);
		// Keeps the transactions below the idle timeout.
		await bench.ask(callers[0]!, 'READ a');
		await bench.ask(callers[1]!, 'READ a');
		slowDown(bench, 500);
		await bench.clock.advance(1300);
		const answer = bench.send(callers[0]!, 'COMMIT', 'commit-1');
		await bench.clock.runUntil(left);
		expect([describeAnswer(await answer), callers[1]!.refusal]).to.deep.equal(['done idle', 'aborted']);
		expect(lines.filter(line => line === 'a transaction is rolled back')).to.have.length(1);
	});

	/**
	 * A caller ends a transaction that ran nothing, and its commit waits for a connection when the host rolls all transactions back. The commit gets a connection
	 * that is released; nothing may begin on it, and it is returned.
	 */
	it('commits nothing of a transaction that is rolled back while its commit waits', async () => {
		const {bench, startLeaving} = await createLeavingBench({proxies: 1, maxConnections: 4});
		const left = startLeaving();
		await bench.clock.advance(2200);
		const callers = [];
		for (let i = 0; i < 2; i++) {
			const caller = await bench.open(bench.proxies[0]!, 'sync');
			await bench.ask(caller, 'BEGIN');
			callers.push(caller);
		}

		await bench.clock.advance(1600);
		expect(await bench.ask(callers[0]!, 'READ a')).to.equal('done - open');
		const answer = bench.send(callers[1]!, 'COMMIT');
		await bench.clock.runUntil(left);
		expect(describeAnswer(await answer)).to.equal('aborted idle');
		await bench.clock.advance(100);
		expect(countInUse(bench, bench.proxies[0]!)).to.equal(0);
	});

	/**
	 * The balancer still sends a caller while the host has only a replacement to finish. If its session were opened after all others had ended, its first
	 * statement would be refused, and it would have lost time in which another host could serve it.
	 */
	it('refuses a session when nothing more is accepted', async () => {
		const {bench, startLeaving} = await createLeavingBench();
		const startedAt = bench.clock.now();
		const left = startLeaving({
			leadershipWatch: {
				retire() {}, // eslint-disable-line @typescript-eslint/no-empty-function
				get replacing() {
					return bench.clock.now() < startedAt + 4800;
				},
			},
		});
		await bench.clock.advance(4100);
		const late = await bench.open(bench.proxies[0]!, 'sync');
		const received = [late.refusal, late.closed];
		await bench.clock.runUntil(left);
		expect(received).to.deep.equal(['overloaded', true]);
	});

	/** A host writes its last log lines when its last session has ended. A caller that its port still accepted then would be cut off when the process ends. */
	it('accepts no caller on its port when it ends', async () => {
		const {bench, startLeaving, openTransaction} = await createLeavingBench();
		let closed = 0;
		const callerPort = {
			close() {
				closed++;
			},
		};
		const caller = await openTransaction();
		const left = startLeaving({callerPort});
		await bench.clock.advance(2700);
		const whileOpen = closed;
		await bench.ask(caller, 'COMMIT');
		await bench.clock.runUntil(left);
		expect([whileOpen, closed]).to.deep.equal([0, 1]);
	});

	/**
	 * A host is stopped while it replaces a primary, which takes longer than the balancer needs to remove the host. It has no session left, but if it ended
	 * then, the group would have no primary.
	 */
	it('does not end before the replacement that is under way, even without a session', async () => {
		const {bench, startLeaving} = await createLeavingBench({promoteMs: 3000});
		const old = bench.getPrimary();
		old.leaving = true;
		bench.system.registerEndpoints();
		const getReplacing = () => bench.proxies.find(({kernel}) => kernel.getOrThrow('leadershipWatch').replacing);
		while (!getReplacing()) {
			await bench.clock.advance(10);
		}

		const {kernel} = getReplacing()!;
		const leadershipWatch = kernel.getOrThrow('leadershipWatch');
		const tookMs = await bench.clock.runUntil(startLeaving({
			gateway: kernel.getOrThrow('gateway'), checkoutServer: kernel.getOrThrow('checkoutServer'), leadershipWatch,
		}));
		expect([leadershipWatch.replacing, bench.getPrimary() === old]).to.deep.equal([false, false]);
		expect(tookMs).to.be.within(2500, 4000);
	});
});
