import {expect} from 'chai';
import {formatCallerAnswer, parseCallerLine} from '../../src/platform/caller-lines.js';
import {AnswerCode} from '../../src/statements/statement-answer.js';
import {SessionState} from '../../src/statements/statement.js';

describe('caller lines', () => {
	function doTest(line: string, expected: unknown) {
		it(`parses ${JSON.stringify(line)}`, () => {
			expect(parseCallerLine(line)).to.deep.equal(expected);
		});
	}

	function doStatement(text: string, statement: unknown) {
		doTest(`QUERY id7 ${text}`, {kind: 'statement', id: 'id7', statement});
	}

	doTest('STARTUP nights u3f1', {kind: 'open', database: 'nights', key: 'u3f1'});
	doTest('STARTUP nights', {kind: 'open', database: 'nights', key: ''});
	doTest('STARTUP', {kind: 'malformed'});
	doTest('TERMINATE', {kind: 'end'});
	doTest('', {kind: 'malformed'});
	doTest('query id7 COMMIT', {kind: 'malformed'});
	doTest('QUERY', {kind: 'malformed'});
	doStatement('', {kind: 'malformed'});
	doStatement('BEGIN', {kind: 'begin', readOnly: false});
	doStatement('BEGIN READ', {kind: 'begin', readOnly: true});
	doStatement('BEGIN WRITE', {kind: 'malformed'});
	doStatement('COMMIT', {kind: 'commit'});
	doStatement('COMMIT now', {kind: 'malformed'});
	doStatement('ROLLBACK', {kind: 'rollback'});
	// A text that differs from the plain word by a blank must not be sent on as the plain word.
	doStatement('BEGIN ', {kind: 'malformed'});
	doStatement('BEGIN READ ', {kind: 'malformed'});
	doStatement('COMMIT ', {kind: 'malformed'});
	doStatement('ROLLBACK ', {kind: 'malformed'});
	doStatement('READ ', {kind: 'malformed'});
	doStatement('READ  ', {kind: 'run', access: 'read', text: 'READ  '});
	doStatement('READ 1a4', {kind: 'run', access: 'read', text: 'READ 1a4'});
	doStatement('READ', {kind: 'malformed'});
	doStatement('WRITE 1a4 two  words ', {kind: 'run', access: 'write', text: 'WRITE 1a4 two  words '});
	doStatement('SET zone a b', {kind: 'set', name: 'zone', value: 'a b'});
	// A value that is missing would be sent on as an empty one, in a message that is longer than the caller's.
	doStatement('SET zone', {kind: 'malformed'});
	doStatement('SET zone ', {kind: 'set', name: 'zone', value: ''});
	doStatement('PARSE s1 WRITE q2c', {kind: 'prepare', name: 's1', shape: {access: 'write', shape: 'q2c'}});
	doStatement('PARSE s1 q2c', {kind: 'malformed'});
	doStatement('EXECUTE s1', {kind: 'execute', name: 's1'});
	doStatement('EXECUTE s1 ', {kind: 'execute', name: 's1', args: ''});
	doStatement('EXECUTE s1 1a4 data with blanks', {kind: 'execute', name: 's1', args: '1a4 data with blanks'});
	doStatement('CLOSE s1', {kind: 'forget', name: 's1'});
	// Callers may not state a minimum log position, nor send the commands that only the proxy sends.
	doStatement('AFTER 1.1 READ 1a4', {kind: 'malformed'});
	doStatement('STATUS', {kind: 'malformed'});

	it('formats an answer with rows', () => {
		const text = formatCallerAnswer(['a b', ''], {kind: 'complete', signature: '7.1'}, SessionState.Open, {term: 3, position: 12});
		expect(text).to.equal('DATAROW a b\r\nDATAROW \r\nCOMPLETE 7.1\r\nREADY T 3.12\r\n');
	});

	it('formats a refusal', () => {
		const text = formatCallerAnswer([], {kind: 'error', code: AnswerCode.OutcomeUnknown, text: 'why'}, SessionState.Idle);
		expect(text).to.equal('ERROR INDOUBT why\r\nREADY I -\r\n');
	});
});
