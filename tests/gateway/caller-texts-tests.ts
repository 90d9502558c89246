import process from 'node:process';
import {expect} from 'chai';
import * as fc from 'fast-check';
import {MAX_LINE_BYTES} from '../../src/platform/line-reader.js';
import {expectConversation, type CallerRequestText} from './text-model.js';
import {startTextBench, type CallerAnswer, type TextBench} from './text-bench.js';
import type {GivenAnswer, ReceivedStatement} from './text-endpoint.js';

const WORDS = ['READ', 'WRITE', 'AFTER', 'PARSE', 'EXECUTE', 'SET', 'COMMIT', '-', '3.7', 's1', 'w_qf', 'a', 'b', '', '\t', '\r', '\n', '\n\r', '\0', '\u00A0', '\u00FF', '__proto__'];

/** Starts of texts, each followed by anything. */
const KEYWORDS = ['BEGIN', 'BEGIN READ', 'COMMIT', 'ROLLBACK', 'READ', 'WRITE', 'SET n', 'PARSE s1', 'EXECUTE', 'AFTER 3.7 READ a', 'STATUS', 'RESET', ''];

const withoutLineEnds = (text: string) => text.replaceAll(/\r+\n/gv, '\n');

const toWord = (text: string) => withoutLineEnds(text.replaceAll(' ', ''));

/** Any bytes that do not end a line. */
const bytes = fc.array(fc.oneof(fc.constantFrom(...WORDS, ' ', '  '), fc.integer({min: 0, max: 255}).map(byte => String.fromCodePoint(byte))), {maxLength: 6})
	.map(parts => withoutLineEnds(parts.join('')));
const word = fc.oneof({weight: 3, arbitrary: fc.constantFrom('s1', 's2', 'a', 'w_qf', '-')}, {weight: 1, arbitrary: bytes.map(text => toWord(text))});

/** Any bytes, and shapes that begin alike. */
const shape = fc.oneof(bytes, fc.constantFrom('qf', 'qf ', ' qf', 'qf WRITE ve', 'qf WRITE qf'));

const statement = fc.oneof(
	{weight: 3, arbitrary: fc.tuple(fc.constantFrom('READ', 'WRITE'), bytes).map(([keyword, item]) => `${keyword} ${item}`)},
	{weight: 3, arbitrary: fc.tuple(word, fc.constantFrom('READ', 'WRITE'), shape).map(([name, access, text]) => `PARSE ${name} ${access} ${text}`)},
	{weight: 4, arbitrary: fc.tuple(word, fc.oneof(fc.constant(''), bytes.map(args => ` ${args}`))).map(([name, args]) => `EXECUTE ${name}${args}`)},
	{weight: 2, arbitrary: fc.tuple(word, bytes).map(([name, value]) => `SET ${name} ${value}`)},
	{weight: 1, arbitrary: word.map(name => `CLOSE ${name}`)},
	{weight: 4, arbitrary: fc.constantFrom('BEGIN', 'BEGIN READ', 'COMMIT', 'COMMIT', 'ROLLBACK')},
	{weight: 1, arbitrary: fc.tuple(fc.constantFrom(...KEYWORDS), bytes).map(parts => parts.join(''))},
);
const id = fc.oneof({weight: 4, arbitrary: fc.constantFrom('c1', 'c2', '-')}, {weight: 1, arbitrary: bytes.map(text => toWord(text) || 'c3')});
const requests: fc.Arbitrary<readonly CallerRequestText[]> = fc.array(fc.record({id, text: statement}), {minLength: 1, maxLength: 12});

const answer: fc.Arbitrary<GivenAnswer> = fc.record({
	rows: fc.array(bytes, {maxLength: 3}),
	end: fc.oneof({weight: 5, arbitrary: bytes.map(signature => `COMPLETE ${signature}`)}, {weight: 1, arbitrary: bytes.map(text => `ERROR MALFORMED ${text}`)}),
});

/** Cuts a text at the given places, as parts of its length. */
function toPieces(text: string, cuts: readonly number[]): readonly string[] {
	const places = [0, ...cuts.map(cut => Math.floor(cut * text.length / 1000)).toSorted((a, b) => a - b), text.length];
	return places.slice(1).map((place, i) => text.slice(places[i], place));
}

/** Leaves out the text of an error. */
const toCode = (end: string) => end.split(' ', 2).join(' ');

const describeAnswer = ({rows, end, state}: CallerAnswer) => `${rows.length} rows, ${toCode(end)}, ${state}`;

const toLines = (reqs: readonly CallerRequestText[]) => reqs.map(({id, text}) => `QUERY ${id} ${text}\r\n`);

/** Returns the statements whose ids begin with the number of the caller. */
function getOfCaller(received: readonly ReceivedStatement[], caller: number) {
	return received.filter(({id}) => id.startsWith(String(caller)));
}

describe('a caller\'s text', () => {
	const benches: TextBench[] = [];

	after(() => {
		for (const bench of benches) {
			bench.stop();
		}
	});

	async function start(isRemote: boolean) {
		const bench = await startTextBench(isRemote);
		benches.push(bench);
		return bench;
	}

	async function checkConversation({endpoint, converse}: TextBench, sent: readonly CallerRequestText[], answers: readonly GivenAnswer[], cuts: readonly number[]) {
		endpoint.received.length = 0;
		endpoint.answers.splice(0, endpoint.answers.length, ...answers);
		const expected = expectConversation(sent, answers);
		const seen = await converse(toPieces(toLines(sent).join(''), cuts));
		expect(endpoint.violations).to.deep.equal([]);
		expect(endpoint.received).to.deep.equal(expected.received);
		expect(seen.map((got, i) => expected.answers[i]?.isOwnError ? {...got, end: toCode(got.end), isOwnError: true} : got)).to.deep.equal(expected.answers);
	}

	/** Text that is opaque to the proxy was joined into lines as a field of its own, or compared without what stood behind it. */
	function doTest(name: string, isRemote: boolean) {
		it(name, async function () {
			this.timeout(0);
			const bench = await start(isRemote);
			await fc.assert(
				fc.asyncProperty(requests, fc.array(answer, {maxLength: 12}), fc.array(fc.integer({min: 0, max: 1000}), {maxLength: 4}), async (sent, answers, cuts) => {
					await checkConversation(bench, sent, answers, cuts);
				}),
				{seed: 66, numRuns: Number(process.env.PROPERTY_RUNS ?? 300)},
			);
		});
	}

	doTest('reaches the endpoint, and its answer the caller, byte for byte', false);
	doTest('reaches the endpoint through a pool host, and its answer the caller, byte for byte', true);

	/** Runs two sessions at once. Names and values of callers collide, and their sessions alternate on one connection. */
	async function checkPair({endpoint, converse}: TextBench, sent: ReadonlyArray<readonly CallerRequestText[]>) {
		endpoint.received.length = 0;
		const callers = sent.map((reqs, caller) => reqs.map(req => ({...req, id: `${caller}${req.id}`})));
		const seen = await Promise.all(callers.map(async reqs => converse(toLines(reqs))));
		expect(endpoint.violations).to.deep.equal([]);
		for (const [caller, reqs] of callers.entries()) {
			const expected = expectConversation(reqs, []);
			expect(getOfCaller(endpoint.received, caller)).to.deep.equal(getOfCaller(expected.received, caller));
			expect(seen[caller]!.map(got => describeAnswer(got))).to.deep.equal(expected.answers.map(answer => describeAnswer(answer)));
		}
	}

	function doPairTest(name: string, isRemote: boolean) {
		it(name, async function () {
			this.timeout(0);
			const bench = await start(isRemote);
			await fc.assert(
				fc.asyncProperty(requests, requests, async (...sent) => {
					await checkPair(bench, sent);
				}),
				{seed: 66, numRuns: Number(process.env.PROPERTY_RUNS ?? 300)},
			);
		});
	}

	doPairTest('reaches the endpoint beside that of another caller', false);
	doPairTest('reaches the endpoint beside that of another caller through a pool host', true);

	function doLargeTest(name: string, isRemote: boolean) {
		it(name, async () => {
			const bench = await start(isRemote);
			const fill = (start: string) => start.padEnd(MAX_LINE_BYTES - 'QUERY c1 '.length, '\u00FF');
			const row = fill('DATAROW ');
			const sent = ['READ a', 'WRITE a ', 'PARSE s1 WRITE ', 'EXECUTE s1', 'EXECUTE s1 '].map(text => ({id: 'c1', text: text === 'EXECUTE s1' ? text : fill(text)}));
			await checkConversation(bench, isRemote ? sent.slice(0, 4) : sent, [{rows: [row.slice('DATAROW '.length)], end: 'COMPLETE signed'}], [500]);
			expect(bench.endpoint.maxBytes).to.be.at.most(MAX_LINE_BYTES);
		});
	}

	doLargeTest('of exactly the maximum size passes', false);
	doLargeTest('of exactly the maximum size passes through a pool host', true);

	/** The begin was sent again until the timeout, at each pool host in turn, and each of them was marked as unreachable. */
	it('is refused in a transaction whose session values are too large for a pool host', async () => {
		const bench = await start(true);
		const value = '\u00FF'.repeat(MAX_LINE_BYTES - 'QUERY c1 SET a '.length);
		const texts = [`SET a ${value}`, `SET b ${value}`, 'BEGIN', 'WRITE a 7', 'ROLLBACK', 'BEGIN', 'COMMIT'];
		const answers = await bench.converse(texts.map((text, i) => `QUERY c${i} ${text}\r\n`));
		expect(answers.map(({end, state}) => `${toCode(end)} ${state}`)).to.deep.equal([
			'COMPLETE - I', 'COMPLETE - I', 'COMPLETE - T', 'ERROR TOOBIG E', 'COMPLETE - I', 'COMPLETE - T', 'ERROR TOOBIG I',
		]);
		expect([bench.endpoint.received, bench.pair.isMarked]).to.deep.equal([[], false]);
	});
});
