import {expect} from 'chai';
import type {LeadEvidence} from '../../src/leadership/lead-evidence.js';
import type {EndpointRequest} from '../../src/links/endpoint-link.js';
import {createLinkLost} from '../../src/links/link-errors.js';
import type {SessionLink} from '../../src/links/link-session.js';
import {createLinkLender, type LinkLenderOptions} from '../../src/lending/link-lender.js';
import type {LoanAnswer, LoanRequest} from '../../src/lending/lending-calls.js';
import type {PeerCalls} from '../../src/peers/peer-calls.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {SessionState} from '../../src/statements/statement.js';
import type {EndpointAnswer} from '../../src/statements/statement-answer.js';

const BORROWER = {address: 'borrower:7000'};

const WISH: LoanRequest = {
	endpointId: 'i-1', priority: 1, waitMs: 120, values: [], single: false,
};

const ANSWERED: EndpointAnswer = {rows: [], end: {kind: 'complete'}, state: SessionState.Open};

/** A promise that is settled from outside. */
function createPromise<T>() {
	let resolve!: (value: T) => void;
	let reject!: (err: unknown) => void;
	const promise = new Promise<T>((_resolve, _reject) => {
		resolve = _resolve;
		reject = _reject;
	});
	return {promise, resolve, reject};
}

/** A lender with one connection, which is given and answers when the test says so. */
function createLenderBench() {
	const handlers = new Map<string, (req: unknown, from: unknown) => Promise<unknown>>();
	const clock = createVirtualClock(0);
	const sent: string[] = [];
	const given = createPromise<SessionLink | undefined>();
	let waiting: ReturnType<typeof createPromise<EndpointAnswer>> | undefined;
	let released = 0;
	let closed = false;
	let evidence: Pick<LeadEvidence, 'epoch' | 'primaryId'> | undefined;
	const link = {
		get pending() {
			return waiting ? 1 : 0;
		},
		get closed() {
			return closed;
		},
		async exchange({command}: EndpointRequest) {
			sent.push(command.kind);
			waiting = createPromise();
			return waiting.promise;
		},
		cut() {
			closed = true;
			waiting?.reject(createLinkLost('i-1:5432', 'cut by this host'));
		},
	};
	const ownPool = {
		health: {getSuspicion: () => undefined},
		acquire: async () => given.promise,
		release() {
			released++;
		},
	};
	const lender = createLinkLender({
		peers: {
			handle(kind: string, handler: (req: unknown, from: unknown) => Promise<unknown>) {
				handlers.set(kind, handler);
			},
		},
		directory: {get: () => ({entry: {id: 'i-1', group: 'nights'}, ownPool})},
		evidences: {get: () => evidence},
		clock,
		elapsedClock: {elapsed: () => clock.now()},
		random: createSeededRandom(1),
		log: createSilentLog(),
		getLongestRestMs: () => 3000,
	} as unknown as LinkLenderOptions);

	return {
		lender,
		sent,
		get released() {
			return released;
		},
		get closed() {
			return closed;
		},
		give() {
			given.resolve({link, adapt() {}} as unknown as SessionLink); // eslint-disable-line @typescript-eslint/no-empty-function
		},
		setEvidence(epoch: number) {
			evidence = {epoch, primaryId: 'i-1'};
		},
		run: async (epoch?: number) => handlers.get('loan-run')!({
			...WISH, single: true, epoch, request: {command: {kind: 'run'}},
		}, BORROWER) as Promise<PeerCalls['loan-run']['res']>,
		open: async () => handlers.get('loan-open')!(WISH, BORROWER) as Promise<LoanAnswer>,
		exchange: async (loan: string, turn: number, kind: 'begin' | 'run' | 'commit') =>
			handlers.get('loan-exchange')!({
				loan, turn, request: {command: {kind}}, last: false,
			}, BORROWER) as Promise<PeerCalls['loan-exchange']['res']>,
		answer(answer: EndpointAnswer) {
			const answering = waiting!;
			waiting = undefined;
			answering.resolve(answer);
		},
	};
}

/** Lends the connection and begins a transaction on it; gives the loan. */
async function openTransaction(bench: ReturnType<typeof createLenderBench>) {
	bench.give();
	const {loan} = await bench.open() as {readonly loan: string};
	const answered = bench.exchange(loan, 1, 'begin');
	bench.answer(ANSWERED);
	await answered;
	return loan;
}

describe('a lender', () => {
	/**
	 * A host is told to stop while another waits there for a connection, which comes free just after. Lent all the same, a transaction would begin on a host that
	 * is about to end; refused, it begins at the next lender at once.
	 */
	it('that is told to stop grants nothing to whoever was waiting', async () => {
		const bench = createLenderBench();
		const asked = bench.open();
		bench.lender.retire();
		bench.give();
		expect([await asked, bench.lender.loans, bench.released]).to.deep.equal([{refused: 'stopping'}, 0, 1]);
	});

	/**
	 * A lender is about to end, and another host's caller rests in a transaction on its connection. The commit comes after: sent on, it would be cut by the
	 * end of the process, and nobody would know whether it ran.
	 */
	it('ends a loan that rests with its transaction, and says of a later commit that it was not sent', async () => {
		const bench = createLenderBench();
		const loan = await openTransaction(bench);
		bench.lender.endResting('the host is stopping');
		expect([bench.lender.loans, bench.closed, bench.released]).to.deep.equal([0, true, 1]);
		expect([await bench.exchange(loan, 2, 'commit'), bench.sent]).to.deep.equal([{over: true}, ['begin']]);
	});

	/** The same with a commit under way in that moment: cut, its caller would be told that nobody knows. It is answered, and the loan ends with the answer. */
	it('lets a commit that is under way have its answer before the loan ends', async () => {
		const bench = createLenderBench();
		const loan = await openTransaction(bench);
		const answered = bench.exchange(loan, 2, 'commit');
		bench.lender.endResting('the host is stopping');
		expect([bench.lender.loans, bench.closed]).to.deep.equal([1, false]);
		bench.answer({...ANSWERED, state: SessionState.Idle});
		expect([await answered, bench.lender.loans, bench.closed]).to.deep.equal([{answer: {...ANSWERED, state: SessionState.Idle}}, 0, false]);
	});

	/** The same with another statement under way: its answer is passed on, and the transaction, which would go on, is rolled back. */
	it('rolls a transaction back after the answer to the statement that was under way', async () => {
		const bench = createLenderBench();
		const loan = await openTransaction(bench);
		const answered = bench.exchange(loan, 2, 'run');
		bench.lender.endResting('the host is stopping');
		bench.answer(ANSWERED);
		expect([await answered, bench.lender.loans, bench.closed]).to.deep.equal([{answer: ANSWERED}, 0, true]);
		expect([await bench.exchange(loan, 3, 'commit'), bench.sent]).to.deep.equal([{over: true}, ['begin', 'run']]);
	});

	it('runs a read that comes with the wish, and has its connection back with the answer', async () => {
		const bench = createLenderBench();
		bench.give();
		const run = bench.run();
		await Promise.resolve();
		await new Promise(setImmediate);
		bench.answer({...ANSWERED, state: SessionState.Idle});
		expect(await run).to.have.nested.property('answer.end.kind', 'complete');
		expect([bench.lender.loans, bench.released, bench.closed]).to.deep.equal([0, 1, false]);
	});

	/**
	 * A read waits here for a connection to the primary while that is replaced. Its borrower's evidence held when it was sent and does not when it runs, so it would miss what
	 * the new primary has acknowledged.
	 */
	it('does not run a read at a primary that it has no evidence of in that epoch', async () => {
		const bench = createLenderBench();
		bench.setEvidence(5);
		bench.give();
		expect(await bench.run(4)).to.deep.equal({refused: 'unproven'});
		expect([bench.sent, bench.lender.loans, bench.released]).to.deep.equal([[], 0, 1]);
	});
});
