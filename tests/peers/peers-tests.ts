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
				const answer = await bench.settle(host.call(other.address, 'echo', value, 1000));
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
				expect(await bench.settle(describeOutcome(act(pair)))).to.equal(expected);
			});
		};

		doTestOutcome('tells a handler who called', 'true', async ({host, other}) => {
			other.handle('echo', async (_req, from) => from.address === host.address);
			return host.call(other.address, 'echo', 0, 1000);
		});
		doTestOutcome('turns a handler\'s rejection into an error that may have acted', 'sent true: gave no answer to echo: the night is lost', async ({host, other}) => {
			other.handle('echo', async () => {
				throw new Error('the night is lost');
			});
			return host.call(other.address, 'echo', 0, 1000);
		});
		doTestOutcome('tells that nobody handles a kind', 'sent false: gave no answer to unhandled: no handler for this kind of call', async ({host, other}) =>
			host.call(other.address, 'unhandled', 0, 1000));
		doTestOutcome('refuses a question over the limit unsent', 'sent false: gave no answer to echo: a frame of 5028 bytes is over the limit of 4096', async ({host, other}) =>
			host.call(other.address, 'echo', 'n'.repeat(5000), 1000));
		doTestOutcome('turns an answer over the limit into an error', 'sent true: gave no answer to echo: a frame of 5018 bytes is over the limit of 4096', async ({host, other}) => {
			other.handle('echo', async () => 'n'.repeat(5000));
			return host.call(other.address, 'echo', 0, 1000);
		});
		doTestOutcome('accepts a caller that has the next key already', '"night"', async ({host, other}) =>
			host.call(other.address, 'echo', 'night', 1000), [['next key', PEER_KEY], [PEER_KEY]]);
		doTestOutcome('accepts a caller that still has the previous key', '"night"', async ({host, other}) =>
			host.call(other.address, 'echo', 'night', 1000), [[PEER_KEY], ['next key', PEER_KEY]]);

		it('refuses a question when too much waits on the link', async () => {
			const {host, other} = await addPair();
			const calls = Array.from({length: 40}, async () => describeOutcome(host.call(other.address, 'echo', 'n'.repeat(4000), 1000)));
			const outcomes = await bench.settle(Promise.all(calls));
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

		// A coach would see another member's nights: a call times out, its answer comes after all, and another call
		// made on the same link meanwhile takes it. Cause: an id that was free again too soon.
		doTestAnswers(
			'drops the late answer of a call that timed out',
			['sent true: gave no answer to echo: the timeout passed', '"answer to second"', '1 late'],
			async ({host, other}, gated) => {
				const first = describeOutcome(host.call(other.address, 'echo', 'first', 100));
				await bench.settle(gated.entered('first'));
				await bench.clock.advance(100);
				const second = describeOutcome(host.call(other.address, 'echo', 'second', 1000));
				await bench.settle(gated.entered('second'));
				gated.answer('first');
				gated.answer('second');
				return [await first, await bench.settle(second), `${host.figures.lateAnswers} late`];
			},
		);

		// Two members' requests go over one link and are answered in the other order. Answers that were handed out in
		// the order of the questions would be swapped.
		doTestAnswers('gives crossed answers to their own calls', ['"answer to first"', '"answer to second"'], async ({host, other}, gated) => {
			const calls = ['first', 'second'].map(async req => describeOutcome(host.call(other.address, 'echo', req, 1000)));
			await bench.settle(gated.entered('second'));
			gated.answer('second');
			gated.answer('first');
			return bench.settle(Promise.all(calls));
		});

		// An operator stops a host while it answers: the caller would be left unsure of a write that ran.
		doTestAnswers('stops without cutting a call that it answers', ['"answer to first"'], async ({host, other}, gated) => {
			const call = describeOutcome(host.call(other.address, 'echo', 'first', 5000));
			await bench.settle(gated.entered('first'));
			const stopping = other.stop();
			gated.answer('first');
			await bench.settle(stopping);
			return [await bench.settle(call)];
		});

		// A host stops while a call to it is on its way. It was read by nobody, so it did not run; were it taken for sent, a
		// write's caller would be left unsure for nothing.
		doTestAnswers('tells that a call was not taken which is on its way when the host stops', [
			'"answer to first"',
			'sent false: gave no answer to echo: the host ends its links',
		], async ({host, other}, gated) => {
			const first = describeOutcome(host.call(other.address, 'echo', 'first', 5000));
			await bench.settle(gated.entered('first'));
			gated.answer('first');
			const outcomes = [await bench.settle(first)];
			const onItsWay = describeOutcome(host.call(other.address, 'echo', 'second', 5000));
			// Written at the end of this turn, and read in the next one at the earliest.
			await nextTurn();
			const stopping = other.stop();
			outcomes.push(await bench.settle(onItsWay));
			await bench.settle(stopping);
			return outcomes;
		});

		// The caller's host stops with one call on its way and one not yet written: only the first may have run.
		doTestAnswers('tells written calls from unwritten ones when a link ends', [
			'sent true: gave no answer to echo: this host ends its links',
			'sent false: gave no answer to echo: this host ends its links',
		], async ({host, other}, gated) => {
			const written = describeOutcome(host.call(other.address, 'echo', 'first', 5000));
			await bench.settle(gated.entered('first'));
			const unwritten = describeOutcome(host.call(other.address, 'echo', 'second', 5000));
			void host.stop();
			return bench.settle(Promise.all([written, unwritten]));
		});

		// Links to hosts that no request needs any more would pile up: 900 hosts call each other.
		doTestAnswers('closes an idle link, and opens another for the next call', ['"answer to first"', '"answer to second"', '2 links'], async ({host, other}, gated) => {
			const first = describeOutcome(host.call(other.address, 'echo', 'first', 1000));
			await bench.settle(gated.entered('first'));
			gated.answer('first');
			const outcomes = [await bench.settle(first)];
			await bench.clock.advance(60_000);
			const second = describeOutcome(host.call(other.address, 'echo', 'second', 1000));
			await bench.settle(gated.entered('second'));
			gated.answer('second');
			return [...outcomes, await bench.settle(second), `${host.figures.linksOpened} links`];
		});
	});
}

describePeers('over WebSocket', createWsBench);
describePeers('in memory', createMemoryBench);
