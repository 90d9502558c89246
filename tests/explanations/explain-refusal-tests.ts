/* eslint-disable @stylistic/max-len -- whole sentences are easier to compare on one line */
import {expect} from 'chai';
import {explainRefusal} from '../../src/explanations/explain-refusal.js';
import type {RefusalRecord} from '../../src/explanations/refusal-record.js';
import {RefusalCode} from '../../src/refusals/refusal.js';
import {createQueueFullRecord} from './explanation-fixtures.js';

const REQUEST = '019b8c8e-8a00-7000-8000-00000000002a';
const AT = 1_767_592_800_000;

describe('explanation of a refusal', () => {
	const doTest = (title: string, changes: Partial<RefusalRecord>, expected: string[]) => {
		it(title, () => {
			expect(explainRefusal(createQueueFullRecord(REQUEST, AT, changes))).to.deep.equal(expected);
		});
	};

	doTest('states the request, the known facts, the rule that decided, whether it ran and the retry delay', {}, [
		`At 2026-01-05 06:00:00.000 UTC host entry-1 did not serve a request (read of class interactive on group nights), id ${REQUEST}, session 5f0c2b9a: all 200 places in the interactive queue of nights-a are taken.`,
		'What the host knew then: the endpoint was nights-a; 200 requests were waiting; the queue had room for 200; 3 were running; 3 may run at once; the predicted wait was 2.4 s; one took about 12 ms; the group\'s configuration was at version 42.',
		'The rule that decided (queue-full): a request that finds every place of its class in an endpoint\'s queue taken is refused at once.',
		'It did not run. Nothing of it was sent to any endpoint.',
		'The caller was told to come back after 1.5 s.',
		'Come back as told; where it lasts, compare `show endpoints` with the class shares.',
	]);

	doTest('states that the request may have run', {
		code: 'not-confirmed',
		outcome: 'unknown',
		reason: 'nights-a took the request, but no majority confirmed it in time',
		retryAfterMs: 0,
		sessionId: undefined,
		class: '',
		asked: 'write',
		facts: {
			endpoint: 'nights-a', term: 7, position: 120, durability: 'majority', failingSince: AT - 5000, sent: true, budgetNextAfterMs: 90_500, anythingElse: 3,
		},
	}, [
		`At 2026-01-05 06:00:00.000 UTC host entry-1 did not serve a request (write on group nights), id ${REQUEST}: nights-a took the request, but no majority confirmed it in time.`,
		'What the host knew then: the endpoint was nights-a; the term was 7; the position was 120; the group\'s durability was majority; it had given no answer since 2026-01-05 05:59:55.000 UTC; something had been sent; budget next after was 1 min 30 s; anything else was 3; the group\'s configuration was at version 42.',
		'The rule that decided (not-confirmed): a write is acknowledged only once a majority shows that it holds it under the current term.',
		'It may have run: nobody could tell then. Asking for its outcome under the same request id settles it.',
		'The caller was told to come back at once.',
		'Ask for its outcome under the same request id; check in `show endpoints` that a majority answers.',
	]);

	it('states that a read that may have run can be sent again', () => {
		const sentences = explainRefusal(createQueueFullRecord(REQUEST, AT, {code: 'endpoint-silent', outcome: 'unknown'}));
		expect(sentences).to.include('It may have run without its answer arriving; a read changes nothing and can be sent again.');
	});

	doTest('gives the reason for an unknown code of a newer version', {
		code: 'brand-new' as RefusalCode, facts: {}, configVersion: 0, retryAfterMs: undefined,
	}, [
		`At 2026-01-05 06:00:00.000 UTC host entry-1 did not serve a request (read of class interactive on group nights), id ${REQUEST}, session 5f0c2b9a: all 200 places in the interactive queue of nights-a are taken.`,
		'The rule that decided (brand-new): this version does not know the code; the reason is all it has.',
		'It did not run. The host that decided said so.',
		'The caller was told no time to come back, since coming back alone does not help.',
		'Ask a host of the newer version.',
	]);

	for (const code of Object.values(RefusalCode)) {
		it(`consists of whole sentences for ${code}`, () => {
			for (const sentence of explainRefusal(createQueueFullRecord(REQUEST, AT, {code}))) {
				expect(sentence).to.match(/^[A-Z].*\.$/v).and.not.match(/undefined|\.\./v);
			}
		});
	}
});
