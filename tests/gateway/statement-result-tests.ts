import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {refuse} from '../../src/gateway/statement-result.js';
import {getUnprovenRefusal} from '../../src/gateway/unproven-refusal.js';
import {formatAnswerEnd} from '../../src/platform/caller-lines.js';

describe('a refusal by the proxy', () => {
	/** Guards against names of records that another program wrote, whose characters ended the message and began another one. */
	function doTest(title: string, name: string, expected: string) {
		it(`is one message for a caller where it names ${title}`, () => {
			const {reason, retryAfterMs} = getUnprovenRefusal({phase: 'changing', awaited: [name]})!;
			const sent = Buffer.from(formatAnswerEnd(refuse('overloaded', reason, retryAfterMs).end), 'latin1').toString('latin1');
			expect(sent).to.equal(`ERROR BUSY retry-after-ms=1000 no server that responds is known to hold every acknowledged commit; waiting for ${expected}\r\n`);
		});
	}

	doTest('an ordinary server', 'i-7 1790000000000', 'i-7 1790000000000');
	doTest('one with line ends', 'i-7\r\nREADY I -', String.raw`i-7\u{d}\u{a}READY I -`);
	doTest('one whose low bytes are line ends', 'i-7\u010D\u010AREADY I -', String.raw`i-7\u{10d}\u{10a}READY I -`);
	it('has a bounded length, whatever it names', () => {
		const {reason} = getUnprovenRefusal({phase: 'changing', awaited: ['\u010A'.repeat(500_000)]})!;
		expect(refuse('overloaded', reason).end.text.length).to.be.within(1000, 10_000);
	});

	doTest('one beyond the basic plane', '\u{1F40D}\uD800', String.raw`\u{1f40d}\u{d800}`);
});
