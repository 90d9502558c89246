import {expect} from 'chai';
import {
	createSessionLink, type NeededSession, type SessionLink, type SessionRequest,
} from '../../src/links/link-session.js';
import {MAX_LINE_BYTES} from '../../src/platform/line-reader.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {Access, SessionState} from '../../src/statements/statement.js';
import {AnswerCode, type EndpointAnswer} from '../../src/statements/statement-answer.js';
import {createLineEndpoint} from '../links/line-endpoint.js';
import {createHostPair} from './host-pair.js';

/** Bytes from 128 on take two bytes in a message between hosts. */
const HIGH = '\u00FF';

const LARGE_VALUES = new Map([['a', HIGH.repeat(MAX_LINE_BYTES - 10)], ['b', HIGH.repeat(MAX_LINE_BYTES - 10)]]);
const NO_VALUES = new Map<string, string>();
const DONE: EndpointAnswer['end'] = {kind: 'complete', signature: 'signed'};
const LARGE_ROWS = Array.from({length: 5}, () => 'x'.repeat(MAX_LINE_BYTES - 100));

function createBench() {
	const endpoint = createLineEndpoint();
	let answer: EndpointAnswer | undefined;
	const link = {
		...endpoint.link,
		async exchange(req: Parameters<typeof endpoint.link.exchange>[0]) {
			const own = await endpoint.link.exchange(req);
			return answer && req.id !== undefined ? answer : own;
		},
	};
	const sessionLink = createSessionLink(link, {address: '10.1.0.9:8080'});
	const pair = createHostPair({acquire: async () => sessionLink, release() {}}, createVirtualClock(0)); // eslint-disable-line @typescript-eslint/no-empty-function
	const getAcquireRequest = (values: ReadonlyMap<string, string>, single: boolean) => ({
		priority: 1, until: 600, values, single,
	});
	return {
		endpoint,
		pair,
		answerWith(given: EndpointAnswer) {
			answer = given;
		},
		startRead: (values = NO_VALUES) => pair.startRead({...getAcquireRequest(values, true), read: {epoch: 4}}),
		async checkOut(values = NO_VALUES, single = false) {
			return (await pair.checkOut(getAcquireRequest(values, single)))!;
		},
		getCallerLines: () => endpoint.lines.filter(line => line.startsWith('QUERY c')),
	};
}

const READ: SessionRequest = {id: 'c1', command: {kind: 'run', text: 'READ 1a4'}};
const WRITE: SessionRequest = {id: 'c2', command: {kind: 'run', text: 'WRITE 1a4 7'}};
const COMMIT: SessionRequest = {id: 'c3', command: {kind: 'commit'}};

async function getOutcome(sessionLink: SessionLink, request: SessionRequest, needed?: NeededSession) {
	try {
		const {end, unsent} = await sessionLink.exchange(request, needed);
		return end.kind === 'error' ? `${end.code}${unsent ? ', not sent' : ''}` : 'done';
	} catch (err) {
		return (err as Error).name;
	}
}

describe('large messages between hosts', () => {
	/** The pool host was marked as unreachable, for all callers of the host. */
	it('are refused where a read and its session values are too large, and mark no pool host', async () => {
		const bench = createBench();
		const outcome = await getOutcome(bench.startRead(LARGE_VALUES), READ, {values: LARGE_VALUES});
		expect([outcome, bench.pair.isMarked, bench.getCallerLines()]).to.deep.equal(['too-large, not sent', false, []]);
	});

	/** The values are not needed for the checkout itself. */
	it('leave a checkout open whose caller has large session values', async () => {
		const bench = createBench();
		const checkout = await bench.checkOut(LARGE_VALUES);
		expect(await getOutcome(checkout, COMMIT)).to.equal('done');
		expect([bench.pair.isMarked, bench.getCallerLines()]).to.deep.equal([false, ['QUERY c3 COMMIT']]);
	});

	/** The checkout was ended, and the request answered as refused for overload, so it was tried again until its timeout. */
	it('leave a checkout usable on which a request was too large', async () => {
		const bench = createBench();
		const checkout = await bench.checkOut();
		const outcomes = [
			await getOutcome(checkout, READ, {values: NO_VALUES}),
			await getOutcome(checkout, WRITE, {values: LARGE_VALUES}),
			await getOutcome(checkout, WRITE, {values: NO_VALUES}),
			await getOutcome(checkout, COMMIT),
		];
		expect(outcomes).to.deep.equal(['done', 'too-large, not sent', 'done', 'done']);
		expect(bench.getCallerLines()).to.deep.equal(['QUERY c1 READ 1a4', 'QUERY c2 WRITE 1a4 7', 'QUERY c3 COMMIT']);
	});

	it('pass where a prepared statement and its arguments have nearly the maximum size', async () => {
		const bench = createBench();
		const prepared = {access: Access.Read, shape: HIGH.repeat(MAX_LINE_BYTES - 40_000)};
		const args = HIGH.repeat(MAX_LINE_BYTES - 40_000);
		const checkout = await bench.checkOut();
		expect(await getOutcome(checkout, {id: 'c1', command: {kind: 'execute', args}}, {values: NO_VALUES, prepared})).to.equal('done');
		expect(bench.endpoint.executed).to.deep.equal([{
			id: 'c1', access: 'READ', shape: prepared.shape, args,
		}]);
	});

	it('pass where values of half of the size stand beside a prepared statement', async () => {
		const bench = createBench();
		const values = new Map([['a', HIGH.repeat(500_000)]]);
		expect(await getOutcome(bench.startRead(values), READ, {values, prepared: {access: Access.Read, shape: 'q'.repeat(1_000_000)}})).to.equal('done');
		expect(bench.getCallerLines()).to.deep.equal(['QUERY c1 READ 1a4']);
	});

	/** The pool host sent no response, so it was marked as unreachable, and the read went to the next one. */
	it('are refused where the rows of a read are too large', async () => {
		const bench = createBench();
		bench.answerWith({rows: LARGE_ROWS, end: DONE, state: SessionState.Idle});
		expect([await getOutcome(bench.startRead(), READ), bench.pair.isMarked]).to.deep.equal(['too-large', false]);
		expect(bench.getCallerLines()).to.have.length(1);
	});

	/** The connection was lost to its caller, although nothing of an open transaction is kept. */
	it('are refused where the rows of a read in a transaction are too large, which leaves it open for its rollback', async () => {
		const bench = createBench();
		const checkout = await bench.checkOut();
		bench.answerWith({rows: LARGE_ROWS, end: DONE, state: SessionState.Open});
		expect([await getOutcome(checkout, READ), checkout.link.closed]).to.deep.equal(['too-large', false]);
		bench.answerWith({rows: [], end: DONE, state: SessionState.Idle});
		expect(await getOutcome(checkout, {id: 'c4', command: {kind: 'rollback'}})).to.equal('done');
	});

	/** A write that took effect must not be told as not run. */
	it('leave the outcome of a write unknown whose rows are too large', async () => {
		const bench = createBench();
		bench.answerWith({rows: LARGE_ROWS, end: DONE, state: SessionState.Idle});
		expect(await getOutcome(await bench.checkOut(NO_VALUES, true), WRITE)).to.equal(AnswerCode.OutcomeUnknown);
	});

	it('pass where the rows of a read are many and short', async () => {
		const bench = createBench();
		bench.answerWith({rows: Array.from({length: 900_000}, () => '7'), end: DONE, state: SessionState.Idle});
		const answer = await bench.startRead().exchange(READ);
		expect(answer.rows.length).to.equal(900_000);
	});

	it('pass where the rows of a read are just below the limit', async () => {
		const bench = createBench();
		bench.answerWith({rows: LARGE_ROWS.slice(0, 3).map(() => HIGH.repeat(680_000)), end: DONE, state: SessionState.Idle});
		const answer = await bench.startRead().exchange(READ);
		expect(answer.rows.map(row => row.length)).to.deep.equal([680_000, 680_000, 680_000]);
	});
});
