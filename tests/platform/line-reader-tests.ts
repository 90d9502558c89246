import {expect} from 'chai';
import fc from 'fast-check';
import {createLineReader} from '../../src/platform/line-reader.js';

describe('line reader', () => {
	it('reads the same lines however the stream is split into chunks', () => {
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

	doTest('keeps an incomplete line until the rest arrives', ['ab', 'c\r', '\nd'], [[], [], ['abc']]);
	doTest('accepts a line of exactly the maximum length', ['12345678\r\n'], [['12345678']]);
	doTest('rejects a longer line', ['123456789\r\n'], [undefined]);
	doTest('rejects a longer line before its end arrives', ['12345', '678901'], [[], undefined]);
	doTest('keeps a lone line feed in its line', ['a\nb\r\n'], [['a\nb']]);
});
