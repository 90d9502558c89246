import {Buffer} from 'node:buffer';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {
	createGatedHandler, createMemoryBench, createWsBench, describeOutcome, PEER_KEY, type CreatePeerBench, type PeerBench,
} from './peer-bench.js';

function describePeers(name: string, createBench: CreatePeerBench) {
	describe(`peers ${name}`, () => {
		let bench: PeerBench;

		beforeEach(() => {
			bench = createBench({maxFrameBytes: 4096, maxBufferedBytes: 65_536});
		});
		afterEach(async () => {
			await bench.stop();
		});

		const addPair = async (keys: readonly string[] = [PEER_KEY], otherKeys: readonly string[] = [PEER_KEY]) => {
			const [host, other] = [await bench.addHost(keys), await bench.addHost(otherKeys)];
			other.handle('echo', async req => req);
			return {host, other};
		};

		const doTestValue = (title: string, value: unknown) => {
			it(`carries ${title} there and back`, async () => {
				const {host, other} = await addPair();
				const answer = await bench.waitFor(host.call(other.address, 'echo', value, 1000));
				expect(answer).to.deep.equal(value);
				expect(answer === value).to.equal(typeof value !== 'object' || value === null);
			});
		};

		doTestValue('null', null);
		doTestValue('a number beyond 32 bits', 1_767_592_800_123.5);
		doTestValue('nested rows', {rows: [{night: '2026-01-05', score: 81, coach: null}, {night: 'ночь', score: -0.5}]});
		doTestValue('a date', new Date(1_767_592_800_000));
		doTestValue('bytes', Buffer.from('00ff10', 'hex'));
		doTestValue('undefined in an object', {floor: undefined});

		const doTestOutcome = (title: string, expected: string, act: (pair: Awaited<ReturnType<typeof addPair>>) => Promise<unknown>, keys?: [string[], string[]]) => {
			it(title, async () => {
				const pair = await addPair(...keys ?? []);
				expect(await bench.waitFor(describeOutcome(act(pair)))).to.equal(expected);
			});
		};

		doTestOutcome('passes the caller\'s address to the handler', 'true', async ({host, other}) => {
			other.handle('echo', async (_req, from) => from.address === host.address);
			return host.call(other.address, 'echo', 0, 1000);
		});
		doTestOutcome('turns a handler\'s rejection into an error with `sent: true`', 'sent true: gave no answer to echo: the row is lost', async ({host, other}) => {
			other.handle('echo', async () => {
				throw new Error('the row is lost');
			});
			return host.call(other.address, 'echo', 0, 1000);
		});
		doTestOutcome('reports that a kind has no handler', 'sent false: gave no answer to unhandled: no handler for this kind of call', async ({host, other}) =>
			host.call(other.address, 'unhandled', 0, 1000));
		doTestOutcome('refuses to send a request over the limit', 'sent false: gave no answer to echo: a frame of 5028 bytes is over the limit of 4096', async ({host, other}) =>
			host.call(other.address, 'echo', 'n'.repeat(5000), 1000));
		doTestOutcome('turns a response over the limit into an error', 'sent true: gave no answer to echo: a frame of 5018 bytes is over the limit of 4096', async ({host, other}) => {
			other.handle('echo', async () => 'n'.repeat(5000));
			return host.call(other.address, 'echo', 0, 1000);
		});
		doTestOutcome('accepts a caller that has the next key already', '"night"', async ({host, other}) =>
			host.call(other.address, 'echo', 'night', 1000), [['next key', PEER_KEY], [PEER_KEY]]);
		doTestOutcome('accepts a caller that still has the previous key', '"night"', async ({host, other}) =>
			host.call(other.address, 'echo', 'night', 1000), [[PEER_KEY], ['next key', PEER_KEY]]);

		it('refuses a call when too many bytes wait on the link', async () => {
			const {host, other} = await addPair();
			const calls = Array.from({length: 40}, async () => describeOutcome(host.call(other.address, 'echo', 'n'.repeat(4000), 1000)));
			const outcomes = await bench.waitFor(Promise.all(calls));
			const refused = outcomes.filter(outcome => outcome.startsWith('sent false') && outcome.includes('bytes wait for'));
			const answered = outcomes.filter(outcome => outcome.startsWith('"nnn'));
			expect([answered.length, refused.length]).to.deep.equal([17, 23]);
		});

		const doTestAnswers = (title: string, expected: string[], act: (pair: Awaited<ReturnType<typeof addPair>>, gated: ReturnType<typeof createGatedHandler>) => Promise<unknown[]>) => {
			it(title, async () => {
				const pair = await addPair();
				const gated = createGatedHandler();
				pair.other.handle('echo', gated.handle);
				expect(await act(pair, gated)).to.deep.equal(expected);
			});
		};

		// A call times out, and its response arrives while another call waits on the same link. If the id were reused too soon, that
		// call would take the response, and its caller would see another caller's rows.
		doTestAnswers(
			'drops the late response to a call that timed out',
			['sent true: gave no answer to echo: the timeout passed', '"answer to second"', '1 late'],
			async ({host, other}, gated) => {
				const first = describeOutcome(host.call(other.address, 'echo', 'first', 100));
				await bench.waitFor(gated.entered('first'));
				await bench.clock.advance(100);
				const second = describeOutcome(host.call(other.address, 'echo', 'second', 1000));
				await bench.waitFor(gated.entered('second'));
				gated.answer('first');
				gated.answer('second');
				return [await first, await bench.waitFor(second), `${host.figures.lateAnswers} late`];
			},
		);

		// Two requests go over one link and get their responses in reverse order. If responses were matched in
		// the order of the requests, they would be swapped.
		doTestAnswers('matches reordered responses to their calls', ['"answer to first"', '"answer to second"'], async ({host, other}, gated) => {
			const calls = ['first', 'second'].map(async req => describeOutcome(host.call(other.address, 'echo', req, 1000)));
			await bench.waitFor(gated.entered('second'));
			gated.answer('second');
			gated.answer('first');
			return bench.waitFor(Promise.all(calls));
		});

		// An operator stops a host while it handles a call: the caller would not know the outcome of a write that ran.
		doTestAnswers('stops without aborting a call that it handles', ['"answer to first"'], async ({host, other}, gated) => {
			const call = describeOutcome(host.call(other.address, 'echo', 'first', 5000));
			await bench.waitFor(gated.entered('first'));
			const stopping = other.stop();
			gated.answer('first');
			await bench.waitFor(stopping);
			return [await bench.waitFor(call)];
		});

		// A host stops while a call to it is in transit. Nobody read it, so it did not run; if it counted as sent, a
		// write's caller would needlessly not know the outcome.
		doTestAnswers('reports that a call in transit when the host stops was not run', [
			'"answer to first"',
			'sent false: gave no answer to echo: the host ends its links',
		], async ({host, other}, gated) => {
			const first = describeOutcome(host.call(other.address, 'echo', 'first', 5000));
			await bench.waitFor(gated.entered('first'));
			gated.answer('first');
			const outcomes = [await bench.waitFor(first)];
			const onItsWay = describeOutcome(host.call(other.address, 'echo', 'second', 5000));
			// Written at the end of this turn, and read in the next one at the earliest.
			await nextTurn();
			const stopping = other.stop();
			outcomes.push(await bench.waitFor(onItsWay));
			await bench.waitFor(stopping);
			return outcomes;
		});

		// The caller's host stops with one call in transit and one not yet written: only the first may have run.
		doTestAnswers('distinguishes written calls from unwritten ones when a link closes', [
			'sent true: gave no answer to echo: this host ends its links',
			'sent false: gave no answer to echo: this host ends its links',
		], async ({host, other}, gated) => {
			const written = describeOutcome(host.call(other.address, 'echo', 'first', 5000));
			await bench.waitFor(gated.entered('first'));
			const unwritten = describeOutcome(host.call(other.address, 'echo', 'second', 5000));
			void host.stop();
			return bench.waitFor(Promise.all([written, unwritten]));
		});

		// Links to hosts that no request needs any more would accumulate: 900 hosts call each other.
		doTestAnswers('closes an idle link, and opens another for the next call', ['"answer to first"', '"answer to second"', '2 links'], async ({host, other}, gated) => {
			const first = describeOutcome(host.call(other.address, 'echo', 'first', 1000));
			await bench.waitFor(gated.entered('first'));
			gated.answer('first');
			const outcomes = [await bench.waitFor(first)];
			await bench.clock.advance(60_000);
			const second = describeOutcome(host.call(other.address, 'echo', 'second', 1000));
			await bench.waitFor(gated.entered('second'));
			gated.answer('second');
			return [...outcomes, await bench.waitFor(second), `${host.figures.linksOpened} links`];
		});
	});
}

describePeers('over WebSocket', createWsBench);
describePeers('in memory', createMemoryBench);
