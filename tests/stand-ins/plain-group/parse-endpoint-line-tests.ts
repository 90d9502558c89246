import {expect} from 'chai';
import {parseEndpointLine} from '../../../src/stand-ins/plain-group/parse-endpoint-line.js';
import type {EndpointCommand} from '../../../src/links/endpoint-link.js';
import {Access} from '../../../src/statements/statement.js';

/** Guards against a stand-in that is more lenient than an endpoint, so that a line that was put together wrongly passes. */
describe('a line that an endpoint reads', () => {
	function doTest(text: string, command: EndpointCommand | undefined) {
		it(`${JSON.stringify(text)} is ${command?.kind ?? 'not understood'}`, () => {
			const line = `QUERY x1 ${text}`;
			expect(parseEndpointLine(line)).to.deep.equal(command && {id: 'x1', command, line});
		});
	}

	doTest('READ a b', {kind: 'run', text: 'READ a b'});
	doTest('WRITE a  b ', {kind: 'run', text: 'WRITE a  b '});
	doTest('PARSE a WRITE ve WRITE  qf ', {kind: 'prepare', name: 'a', shape: {access: Access.Write, shape: 've WRITE  qf '}});
	doTest('PARSE a READ  ', {kind: 'prepare', name: 'a', shape: {access: Access.Read, shape: ' '}});
	doTest('PARSE a  READ qf', undefined);
	doTest('PARSE a READ', undefined);
	doTest('EXECUTE a', {kind: 'execute', name: 'a', args: undefined});
	doTest('EXECUTE a ', {kind: 'execute', name: 'a', args: ''});
	doTest('EXECUTE a READ i 7', {kind: 'execute', name: 'a', args: 'READ i 7'});
	doTest('CLOSE a', {kind: 'close', name: 'a'});
	doTest('CLOSE a b', undefined);
	doTest('SET v 1 2', {kind: 'set', name: 'v', value: '1 2'});
	doTest('RESET', {kind: 'reset'});
	doTest('RESET ', undefined);
	doTest('BEGIN READ', {kind: 'begin', readOnly: true});
	doTest('BEGIN WRITE', undefined);
	doTest('COMMIT', {kind: 'commit'});
	doTest('AFTER 1.2 COMMIT', undefined);
	doTest('constructor x', undefined);
	doTest(' READ a', undefined);

	it('may carry a position', () => {
		const line = 'QUERY x1 AFTER 1.2 READ a';
		expect(parseEndpointLine(line)).to.deep.equal({
			id: 'x1', command: {kind: 'run', text: 'READ a'}, floor: {term: 1, position: 2}, line,
		});
	});
});
