import {expect} from 'chai';
import {
	createSessionLink, type NeededSession, type SessionLink, type SessionRequest,
} from '../../src/links/link-session.js';
import {MAX_LINE_BYTES} from '../../src/platform/line-reader.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {Access} from '../../src/statements/statement.js';
import {createLineEndpoint} from '../links/line-endpoint.js';
import {createHostPair} from './host-pair.js';

/** Bytes from 128 on take two bytes in a message between hosts. */
const HIGH = '\u00FF';

const LARGE_VALUES = new Map([['a', HIGH.repeat(MAX_LINE_BYTES - 10)], ['b', HIGH.repeat(MAX_LINE_BYTES - 10)]]);
const NO_VALUES = new Map<string, string>();

function createBench() {
	const endpoint = createLineEndpoint();
	const sessionLink = createSessionLink(endpoint.link, {address: '10.1.0.9:8080'});
	const pair = createHostPair({acquire: async () => sessionLink, release() {}}, createVirtualClock(0)); // eslint-disable-line @typescript-eslint/no-empty-function
	const getAcquireRequest = (values: ReadonlyMap<string, string>, single: boolean) => ({
		priority: 1, until: 600, values, single,
	});
	return {
		endpoint,
		pair,
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
});
