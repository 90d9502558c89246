import {expect} from 'chai';
import {formatTransactionId, parseTransactionId} from '../../src/transactions/transaction-id.js';

describe('transaction id', () => {
	const doTest = (text: string, expected: unknown) => {
		it(`parses ${text === '' ? 'an empty id' : text}`, () => {
			const id = parseTransactionId(text);
			expect(id).to.deep.equal(expected);
			expect(id && formatTransactionId(id)).to.equal(expected ? text : undefined);
		});
	};

	doTest('key.filings.entry-1', {requestId: 'key', group: 'filings', host: 'entry-1'});
	doTest('key.filings.entry-1.sofia', {requestId: 'key', group: 'filings', host: 'entry-1.sofia'});
	doTest('key.filings', undefined);
	doTest('key', undefined);
	doTest('', undefined);
});
