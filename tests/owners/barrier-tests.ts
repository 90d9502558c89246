import {expect} from 'chai';
import type {EndpointStatus} from '../../src/endpoints/endpoint.js';
import {evaluateRound} from '../../src/owners/barrier.js';

/** `P` or `R` for the role, promised term, and the log's (term, position), as in `P2 (2, 7)`. */
function parseStatus(text: string): EndpointStatus {
	const [, role, term, logTerm, position] = /^([PR])(\d+) \((\d+), (\d+)\)$/v.exec(text)!;
	return {
		role: role === 'P' ? 'primary' : 'replica',
		term: Number(term),
		log: {term: Number(logTerm), position: Number(position)},
		leaving: false,
	};
}

describe('barrier', () => {
	describe('evaluateRound', () => {
		const doTest = (reported: string[], expected: string) => {
			it(`${reported.join(', ')} gives ${expected}`, () => {
				const statuses = new Map(reported.map((text, index) => [`e${index + 1}`, parseStatus(text)]));
				const found = evaluateRound(statuses, 2);
				expect(found ? `${found.primary} (${found.floor.term}, ${found.floor.position})` : 'nothing').to.equal(expected);
			});
		};

		doTest(['P1 (1, 5)', 'R1 (1, 3)'], 'e1 (1, 5)');
		doTest(['P1 (1, 5)'], 'nothing');
		doTest(['R1 (1, 5)', 'R1 (1, 5)', 'R1 (1, 5)'], 'nothing');
		// A superseded primary that reports the longest log, and the primary whose term a majority has promised.
		doTest(['P1 (1, 9)', 'P2 (2, 7)', 'R2 (1, 6)'], 'e2 (2, 7)');
		doTest(['P1 (1, 9)', 'R2 (1, 6)', 'R2 (1, 6)'], 'nothing');
		// A primary that has not written an entry of its own term yet gives no floor.
		doTest(['P2 (1, 9)', 'R2 (1, 6)', 'R2 (1, 6)'], 'nothing');
	});
});
