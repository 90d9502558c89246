import {expect} from 'chai';
import fc from 'fast-check';
import {createLineReader} from '../../src/platform/line-reader.js';

describe('line reader', () => {
	it('reads the same lines however the stream is cut', () => {
		fc.assert(fc.property(fc.array(fc.string({unit: fc.constantFrom('a', 'b', ' ', '\r'), maxLength: 12}).filter(line => !line.endsWith('\r'))), fc.array(fc.nat(20)), (lines, cuts) => {
			const reader = createLineReader();
			let rest = lines.map(line => `${line}\r\n`).join('');
			const read: string[] = [];
			for (const cut of cuts) {
				read.push(...reader.push(rest.slice(0, cut))!);
				rest = rest.slice(cut);
			}

			read.push(...reader.push(rest)!);
			expect(read).to.deep.equal(lines);
		}));
	});

	function doTest(name: string, chunks: readonly string[], expected: unknown) {
		it(name, () => {
			const reader = createLineReader(8);
			expect(chunks.map(chunk => reader.push(chunk))).to.deep.equal(expected);
		});
	}

	doTest('keeps half a line', ['ab', 'c\r', '\nd'], [[], [], ['abc']]);
	doTest('takes a line of the limit', ['12345678\r\n'], [['12345678']]);
	doTest('refuses a longer line', ['123456789\r\n'], [undefined]);
	doTest('refuses a longer line before its end', ['12345', '678901'], [[], undefined]);
	doTest('keeps a lone line feed in its line', ['a\nb\r\n'], [['a\nb']]);
});
