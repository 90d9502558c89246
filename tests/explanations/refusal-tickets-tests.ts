import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {boundRecord} from '../../src/explanations/bounded-record.js';
import type {RefusalRecord} from '../../src/explanations/refusal-record.js';
import {createRefusalTickets, MAX_TICKET_LENGTH} from '../../src/explanations/refusal-tickets.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {CURRENT_KEY, createQueueFullRecord, PREVIOUS_KEY} from './explanation-fixtures.js';

const REQUEST = '019b8c8e-8a00-7000-8000-00000000002a';
const AT = 1_767_592_800_000;

describe('refusal tickets', () => {
	const current = createRefusalTickets({keys: [CURRENT_KEY, PREVIOUS_KEY]});
	const record = createQueueFullRecord(REQUEST, AT);

	it('contain the whole record', () => {
		expect(current.open(current.sign(record))).to.deep.equal(record);
	});

	it('are accepted with the previous key, and not with an unknown one', () => {
		const before = createRefusalTickets({keys: [PREVIOUS_KEY]});
		const after = createRefusalTickets({keys: ['a later key, of thirty-two bytes!']});
		expect(current.open(before.sign(record))).to.deep.equal(record);
		expect(after.open(before.sign(record))).to.equal(undefined);
	});

	describe('stay within their maximum length', () => {
		const doTest = (title: string, changes: Partial<RefusalRecord>, leftOut: number | undefined) => {
			it(title, () => {
				const ticket = current.sign(boundRecord(createQueueFullRecord(REQUEST, AT, changes)));
				expect(ticket.length).to.be.at.most(MAX_TICKET_LENGTH);
				expect(current.open(ticket)).to.include({code: 'queue-full', requestId: REQUEST});
				expect(current.open(ticket)?.facts.factsLeftOut).to.equal(leftOut);
			});
		};

		const manyFacts = (count: number, text: (index: number) => string) =>
			Object.fromEntries(Array.from({length: count}, (_, index) => [`fact${index}`, text(index)]));
		// Texts without repetition, which hardly compress.
		const random = createSeededRandom(3);
		const noise = (length: number) => Buffer.from(random.bytes(length)).toString('base64').slice(0, length);

		doTest('with few facts', {}, undefined);
		doTest('with facts that compress', {facts: manyFacts(20, () => 'the same text again and again, and once more')}, undefined);
		doTest('with facts that do not compress', {facts: manyFacts(24, () => noise(60))}, 16);
		doTest('with more facts than a record keeps', {facts: manyFacts(500, () => noise(60))}, 492);
		doTest('with very long names', {
			reason: noise(5000), group: noise(5000), host: noise(5000), sessionId: noise(5000), asked: noise(5000),
		}, undefined);
	});

	describe('are refused when', () => {
		const doTest = (title: string, ticket: string) => {
			it(title, () => {
				expect(current.open(ticket)).to.equal(undefined);
			});
		};

		const ticket = current.sign(record);
		const [prefix, body, mac] = ticket.split('.') as [string, string, string];
		doTest('empty', '');
		doTest('signed with an unknown key', createRefusalTickets({keys: ['not a key of this system at all!']}).sign(record));
		doTest('the body was changed', `${prefix}.${body.slice(0, -2)}AA.${mac}`);
		doTest('the signature was changed', `${prefix}.${body}.${mac.slice(0, -1)}${mac.endsWith('A') ? 'Q' : 'A'}`);
		doTest('the signature is missing', `${prefix}.${body}`);
		doTest('of another version', `t2.${body}.${mac}`);
		doTest('followed by further text', `${ticket}.more`);
		doTest('longer than the maximum', `${prefix}.${body.repeat(9)}.${mac}`);
	});

	it('do not contain values that a server quotes in its error', () => {
		const reason = 'nights-a rejected the statement: invalid input syntax for type integer: "member 4711", Key (night)=(2026-01-05)';
		const bounded = boundRecord(createQueueFullRecord(REQUEST, AT, {code: 'statement-failed', reason}));
		expect(bounded.reason).to.equal('nights-a rejected the statement: invalid input syntax for type integer: …, Key …=…');
	});
});
