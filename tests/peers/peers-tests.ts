import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {isPeerError} from '../../src/peers/peer-errors.js';
import {
	createMemoryBench, createWsBench, PEER_KEY, type CreatePeerBench, type PeerBench,
} from './peer-bench.js';

/** One line that shows how a call ended. */
async function describeOutcome(call: Promise<unknown>): Promise<string> {
	try {
		return JSON.stringify(await call);
	} catch (err) {
		return isPeerError(err) ? `sent ${err.sent}: ${err.message.replace(/^\S+ /v, '')}` : String(err);
	}
}

/** A promise that its test settles. */
function createGate<T = void>() {
	let open: (value: T) => void = () => undefined;
	const opened = new Promise<T>(resolve => {
		open = resolve;
	});
	return {opened, open};
}

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
		doTestOutcome('refuses a question over the limit unsent', 'sent false: gave no answer to echo: a frame of 5030 bytes is over the limit of 4096', async ({host, other}) =>
			host.call(other.address, 'echo', 'n'.repeat(5000), 1000));
		doTestOutcome('turns an answer over the limit into an error', 'sent true: gave no answer to echo: a frame of 5020 bytes is over the limit of 4096', async ({host, other}) => {
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

		it('stops without cutting a call that it answers', async () => {
			const {host, other} = await addPair();
			const entered = createGate();
			const gate = createGate<string>();
			other.handle('echo', async () => {
				entered.open();
				return gate.opened;
			});
			const call = describeOutcome(host.call(other.address, 'echo', 0, 5000));
			await bench.settle(entered.opened);
			const stopping = other.stop();
			gate.open('done');
			expect(await bench.settle(call)).to.equal('"done"');
			await bench.settle(stopping);
		});
	});
}

describePeers('over WebSocket', createWsBench);
describePeers('in memory', createMemoryBench);
