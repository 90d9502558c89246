import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {refusalExplanations} from '../../src/explanations/refusal-explanations.js';
import {RefusalCode} from '../../src/refusals/refusal.js';

const PAGE = new URL('../../docs/REFUSALS.md', import.meta.url);

describe('docs/REFUSALS.md', () => {
	const rows = readFileSync(PAGE, 'utf8').split('\n').filter(line => line.startsWith('| `'));

	it('has one row for each code, in the order of the codes', () => {
		const codes = rows.map(row => /^\| `([a-z\-]+)`/v.exec(row)?.[1]);
		expect(codes).to.deep.equal(Object.values(RefusalCode));
	});

	for (const [code, {rule, notRun, advice}] of Object.entries(refusalExplanations)) {
		it(`explains ${code} in the words of \`why\``, () => {
			const capital = rule[0]!.toUpperCase() + rule.slice(1);
			expect(rows).to.include(`| \`${code}\` | ${capital}. | ${notRun} | ${advice} |`);
		});
	}
});
