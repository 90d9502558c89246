import {expect} from 'chai';
import {createRemoteRead} from '../../src/connection-sharing/remote-read.js';
import {CheckoutRefusal} from '../../src/connection-sharing/checkout-calls.js';
import type {NeededOnWire} from '../../src/connection-sharing/prepared-on-wire.js';
import type {NeededSession} from '../../src/links/link-session.js';
import type {PeerCalls} from '../../src/peers/peer-calls.js';
import type {Peers} from '../../src/peers/peers.js';
import {throwPeerSilent} from '../../src/peers/peer-errors.js';
import {createUnreachableHosts} from '../../src/membership/unreachable-hosts.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {SessionState} from '../../src/statements/statement.js';
import type {EndpointAnswer} from '../../src/statements/statement-answer.js';

const DONE: EndpointAnswer = {rows: ['7'], end: {kind: 'complete'}, state: SessionState.Idle};

type Run = PeerCalls['loan-run']['res'];

/** What a pool host answers, after how long, and whether it has failed. */
type FakePoolHost = {
	readonly run: Run;
	readonly afterMs?: number;
	readonly failed?: boolean;
};

/** Runs one read through some pool hosts; resolves with its outcome, the time that it took, and the calls that were made. */
async function runRead(
	poolHosts: Readonly<Record<string, FakePoolHost>>,
	options: {readonly untilMs?: number; readonly own?: EndpointAnswer; readonly wantedMs?: number; readonly needed?: NeededSession; onCall?(): void} = {},
) {
	const clock = createVirtualClock(0);
	const calls: string[] = [];
	const values: unknown[] = [];
	let unreachable = 0;
	const hosts = createUnreachableHosts();
	const peers = {
		async call(address: string, kind: string, req: {readonly needed?: NeededOnWire}, timeoutMs: number) {
			const {run, afterMs = 2, failed = false} = poolHosts[address]!;
			if (kind === 'host-alive' && !failed) {
				return {alive: true};
			}

			calls.push(`${kind} ${address}`);
			values.push(req.needed?.values);
			options.onCall?.();
			await clock.sleep(Math.min(failed ? timeoutMs : afterMs, timeoutMs));
			return failed ? throwPeerSilent(address, kind) : run;
		},
	} as unknown as Peers;
	const sessionLink = createRemoteRead({
		endpointId: 'i-1',
		acquireRequest: {
			priority: 1, until: options.untilMs ?? 600, values: new Map(), single: true, read: {epoch: 4}, isWanted: () => clock.now() < (options.wantedMs ?? Number.POSITIVE_INFINITY),
		},
		peers,
		unreachable: hosts,
		clock,
		getPoolHosts: () => Object.keys(poolHosts).filter(address => !hosts.has(address, clock.now())),
		runOnOwn: async () => options.own,
		onReceived() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		onUnreachable() {
			unreachable++;
		},
	});
	const answer = await clock.runUntil(sessionLink.exchange({id: 's1', command: {kind: 'run', text: 'READ a'}}, options.needed).catch((err: unknown) => (err as Error).name));
	const outcome = typeof answer === 'object' && answer.end.kind === 'complete' ? answer.rows.join(' ') : 'not run';
	return {
		outcome: typeof answer === 'string' ? answer : outcome, ms: clock.now(), calls, values, unreachable,
	};
}

describe('a read that is sent with its checkout request', () => {
	it('takes one call', async () => {
		const {outcome, calls} = await runRead({a: {run: {answer: DONE}}});
		expect([outcome, calls]).to.deep.equal(['7', ['loan-run a']]);
	});

	it('goes on to the next pool host where one has no free connection', async () => {
		const {outcome, calls} = await runRead({a: {run: {refused: CheckoutRefusal.Busy}, afterMs: 120}, b: {run: {answer: DONE}}});
		expect([outcome, calls]).to.deep.equal(['7', ['loan-run a', 'loan-run b']]);
	});

	/** A pool host has lost power. A remote host that waited for it as long as the read may take would fail each of its callers until the link times out. */
	it('goes on to the next pool host where one sends no heartbeat, within half a second', async () => {
		const {outcome, ms} = await runRead({a: {run: {}, failed: true}, b: {run: {answer: DONE}}});
		expect(outcome).to.equal('7');
		expect(ms).to.be.lessThan(500);
	});

	/** An endpoint is slow. Its pool host is healthy, and must not be skipped for every endpoint to which it keeps connections. */
	it('waits for a healthy pool host of a slow endpoint', async () => {
		const {outcome, calls} = await runRead({a: {run: {answer: DONE}, afterMs: 900}, b: {run: {answer: DONE}}});
		expect([outcome, calls]).to.deep.equal(['7', ['loan-run a']]);
	});

	/** A second attempt was answered, and the caller set another value, while the first one still went from pool host to pool host. */
	it('is sent with the values of its caller at the time of the read', async () => {
		const values = new Map([['zone', 'a']]);
		const seen = await runRead({a: {run: {refused: CheckoutRefusal.Busy}}, b: {run: {answer: DONE}}}, {
			needed: {values},
			onCall() {
				values.set('zone', 'b');
			},
		});
		expect(seen.values).to.deep.equal([[['zone', 'a']], [['zone', 'a']]]);
	});

	it('is answered as not run, in time, where no pool host has a free connection', async () => {
		const {outcome, ms} = await runRead({a: {run: {refused: CheckoutRefusal.Busy}, afterMs: 100}}, {untilMs: 250});
		expect(outcome).to.equal('not run');
		expect(ms).to.be.lessThan(400);
	});

	it('is answered as not run at once where the pool hosts do not reach the endpoint', async () => {
		const {outcome, unreachable, ms} = await runRead({a: {run: {refused: CheckoutRefusal.Unreachable}}});
		expect([outcome, unreachable, ms < 20]).to.deep.equal(['not run', 1, true]);
	});

	it('is answered as not run at once where no pool host holds the primary lease', async () => {
		const {outcome, calls} = await runRead({a: {run: {refused: CheckoutRefusal.NoLease}}, b: {run: {refused: CheckoutRefusal.NoLease}}});
		expect([outcome, calls]).to.deep.equal(['not run', ['loan-run a', 'loan-run b']]);
	});

	it('runs on a connection of this host where no pool host answers', async () => {
		const {outcome} = await runRead({a: {run: {refused: CheckoutRefusal.Stopping}}}, {own: DONE});
		expect(outcome).to.equal('7');
	});

	/** A read ran on a connection of its own host after its caller had been answered. */
	it('does not run on a connection of this host once its caller has left', async () => {
		const {outcome} = await runRead({a: {run: {}, failed: true}}, {own: DONE, wantedMs: 50});
		expect(outcome).to.equal('not run');
	});

	it('rejects as lost where the endpoint ends the connection during the read', async () => {
		const {outcome} = await runRead({a: {run: {}}});
		expect(outcome).to.equal('LinkLostError');
	});
});
