import {expect} from 'chai';
import {createReadThrough} from '../../src/lending/read-through.js';
import {LoanRefusal} from '../../src/lending/lending-calls.js';
import type {PeerCalls} from '../../src/peers/peer-calls.js';
import type {Peers} from '../../src/peers/peers.js';
import {throwPeerSilent} from '../../src/peers/peer-errors.js';
import {createUnreachableHosts} from '../../src/membership/unreachable-hosts.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {SessionState} from '../../src/statements/statement.js';
import type {EndpointAnswer} from '../../src/statements/statement-answer.js';

const DONE: EndpointAnswer = {rows: ['7'], end: {kind: 'complete'}, state: SessionState.Idle};

type Run = PeerCalls['loan-run']['res'];

/** A lender: what it answers, after how long, and whether it is there at all. */
type Lender = {
	readonly run: Run;
	readonly afterMs?: number;
	readonly dead?: boolean;
};

/** Runs one read by way of some lenders; what came of it, after how long, and who was asked. */
async function runRead(lenders: Readonly<Record<string, Lender>>, options: {readonly untilMs?: number; readonly own?: EndpointAnswer} = {}) {
	const clock = createVirtualClock(0);
	const asked: string[] = [];
	let unreachable = 0;
	const hosts = createUnreachableHosts();
	const peers = {
		async call(address: string, kind: string, _req: unknown, timeoutMs: number) {
			const {run, afterMs = 2, dead = false} = lenders[address]!;
			if (kind === 'host-alive' && !dead) {
				return {alive: true};
			}

			asked.push(`${kind} ${address}`);
			await clock.sleep(Math.min(dead ? timeoutMs : afterMs, timeoutMs));
			return dead ? throwPeerSilent(address, kind) : run;
		},
	} as unknown as Peers;
	const sessionLink = createReadThrough({
		endpointId: 'i-1',
		wish: {
			priority: 1, until: options.untilMs ?? 600, values: new Map(), single: true, read: {epoch: 4},
		},
		peers,
		unreachable: hosts,
		clock,
		getOrder: () => Object.keys(lenders).filter(address => !hosts.has(address, clock.now())),
		runOnOwn: async () => options.own,
		onHeard() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		onUnreachable() {
			unreachable++;
		},
	});
	const answer = await clock.runUntil(sessionLink.link.exchange({id: 's1', command: {kind: 'run', text: 'READ a'}}).catch((err: unknown) => (err as Error).name));
	const outcome = typeof answer === 'object' && answer.end.kind === 'complete' ? answer.rows.join(' ') : 'not run';
	return {
		outcome: typeof answer === 'string' ? answer : outcome, ms: clock.now(), asked, unreachable,
	};
}

describe('a read sent with the wish for a connection', () => {
	it('takes one call', async () => {
		const {outcome, asked} = await runRead({a: {run: {answer: DONE}}});
		expect([outcome, asked]).to.deep.equal(['7', ['loan-run a']]);
	});

	it('goes on to the next lender where one has no connection free', async () => {
		const {outcome, asked} = await runRead({a: {run: {refused: LoanRefusal.Busy}, afterMs: 120}, b: {run: {answer: DONE}}});
		expect([outcome, asked]).to.deep.equal(['7', ['loan-run a', 'loan-run b']]);
	});

	/** A lender's host has lost power. A borrower that waited for it as long as the read may take would fail each of its callers until the link is given up. */
	it('goes on to the next lender where one gives no sign of life, within half a second', async () => {
		const {outcome, ms} = await runRead({a: {run: {}, dead: true}, b: {run: {answer: DONE}}});
		expect(outcome).to.equal('7');
		expect(ms).to.be.lessThan(500);
	});

	/** An endpoint is slow. Its lender is well, and must not be passed over for every endpoint that it keeps connections to. */
	it('waits for a lender that lives behind a slow endpoint', async () => {
		const {outcome, asked} = await runRead({a: {run: {answer: DONE}, afterMs: 900}, b: {run: {answer: DONE}}});
		expect([outcome, asked]).to.deep.equal(['7', ['loan-run a']]);
	});

	it('is told as not run in time where no lender has a connection', async () => {
		const {outcome, ms} = await runRead({a: {run: {refused: LoanRefusal.Busy}, afterMs: 100}}, {untilMs: 250});
		expect(outcome).to.equal('not run');
		expect(ms).to.be.lessThan(400);
	});

	it('is told at once where the lenders do not reach the endpoint', async () => {
		const {outcome, unreachable, ms} = await runRead({a: {run: {refused: LoanRefusal.Unreachable}}});
		expect([outcome, unreachable, ms < 20]).to.deep.equal(['not run', 1, true]);
	});

	it('is told at once where no lender has evidence of the primary', async () => {
		const {outcome, asked} = await runRead({a: {run: {refused: LoanRefusal.Unproven}}, b: {run: {refused: LoanRefusal.Unproven}}});
		expect([outcome, asked]).to.deep.equal(['not run', ['loan-run a', 'loan-run b']]);
	});

	it('runs on an own connection where no lender answers', async () => {
		const {outcome} = await runRead({a: {run: {refused: LoanRefusal.Stopping}}}, {own: DONE});
		expect(outcome).to.equal('7');
	});

	it('is lost where the endpoint ends the connection under it', async () => {
		const {outcome} = await runRead({a: {run: {}}});
		expect(outcome).to.equal('LinkLostError');
	});
});
