import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {formatStartup} from '../../src/platform/endpoint-lines.js';

/** Returns the line as the endpoint receives it. */
const receive = (line: string) => Buffer.from(line, 'latin1').toString('latin1');

/** Guards against names of workspaces and hosts that end a field or a message, so that the endpoint refused every connection for them. */
describe('the name of whom a connection is for', () => {
	function doTest(name: string, expected: string) {
		it(`is one field for ${JSON.stringify(name)}`, () => {
			expect(receive(formatStartup('nights', name, 'i-7 1790000000000'))).to.equal(`STARTUP nights ${expected} i-7\r\n`);
		});
	}

	doTest('north', 'north');
	doTest('100%-a/b:c', '100%-a/b:c');
	doTest('z\u00FCrich', 'z\u00FCrich');
	doTest('front 1', 'front%201');
	doTest('\u010Dech\u0120\u010A', '%C4%8Dech%C4%A0%C4%8A');
	doTest('a\u0000\u0085b', 'a%00%C2%85b');
	doTest('%C4%8D', '%25C4%258D');

	it('is one field whatever it holds, and another one for each name', () => {
		const name = fc.string({unit: fc.constantFrom('a', '%', '2', '5', 'C', ' ', '\r', '\n', '\u00E9', '\u0120', '\u010A', '\u{1F40D}'), minLength: 1, maxLength: 6});
		fc.assert(fc.property(name, name, (left, right) => {
			const [one, other] = [left, right].map(each => receive(formatStartup('nights', each, 'i-7')));
			expect(one).to.match(/^STARTUP nights [^ \r\n]+ i-7\r\n$/v);
			expect(one === other).to.equal(left === right);
		}), {seed: 3, numRuns: 2000});
	});
});
